import type {
  CrashRecord,
  Milliseconds,
  MonotonicInstant,
  Quarantine,
} from '@hibiscusbeam/core';
import type {CrashRecord as CrashRecordMessage} from '@hibiscusbeam/wire';

/**
 * Maximum number of records in one message; the others follow in later ones.
 */
const MAX_RECORDS_PER_MESSAGE = 100;

/** Maximum value of the age field on the wire. */
const MAX_AGE: Milliseconds = 2 ** 32 - 1;

/**
 * Creates a writer for one stream, which returns the records not yet written to
 * it.
 */
export function createCrashRecordWriter(
  quarantine: Quarantine,
): (now: MonotonicInstant) => CrashRecordMessage[] {
  let written = 0;
  return now => {
    const {rows, revision} = quarantine.changedSince(
      written,
      MAX_RECORDS_PER_MESSAGE,
    );
    written = revision;
    return rows.map(record => writeCrashRecord(record, now));
  };
}

function writeCrashRecord(
  {suspect, endings, answeredAt, depth}: CrashRecord,
  now: MonotonicInstant,
): CrashRecordMessage {
  return {
    fingerprint: Buffer.from(suspect, 'hex'),
    endings: endings.map(({life, sentAt, endedAt}) => ({
      life,
      ageMilliseconds: ageOf(endedAt, now),
      sentMillisecondsAgo: ageOf(sentAt, now),
    })),
    completedMillisecondsAgo:
      answeredAt === undefined ? undefined : ageOf(answeredAt, now),
    promptDepth: depth,
  };
}

/** Reads a record. Ages are relative to its arrival. */
export function readCrashRecord(
  message: CrashRecordMessage,
  now: MonotonicInstant,
): CrashRecord {
  const {completedMillisecondsAgo: answered} = message;
  return {
    suspect: Buffer.from(message.fingerprint).toString('hex'),
    endings: message.endings.map(ending => ({
      life: ending.life,
      sentAt: now - (ending.sentMillisecondsAgo ?? ending.ageMilliseconds),
      endedAt: now - ending.ageMilliseconds,
    })),
    answeredAt: answered === undefined ? undefined : now - answered,
    depth: message.promptDepth,
  };
}

function ageOf(at: MonotonicInstant, now: MonotonicInstant): Milliseconds {
  return Math.min(MAX_AGE, Math.max(0, Math.round(now - at)));
}
