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
  {fingerprint, endings, completedAt}: CrashRecord,
  now: MonotonicInstant,
): CrashRecordMessage {
  return {
    fingerprint: Buffer.from(fingerprint, 'hex'),
    endings: endings.map(({life, endedAt}) => ({
      life,
      ageMilliseconds: ageOf(endedAt, now),
    })),
    completedMillisecondsAgo:
      completedAt === undefined ? undefined : ageOf(completedAt, now),
  };
}

/** Reads a record. Ages are relative to its arrival. */
export function readCrashRecord(
  message: CrashRecordMessage,
  now: MonotonicInstant,
): CrashRecord {
  const {completedMillisecondsAgo: completed} = message;
  return {
    fingerprint: Buffer.from(message.fingerprint).toString('hex'),
    endings: message.endings.map(({life, ageMilliseconds}) => ({
      life,
      endedAt: now - ageMilliseconds,
    })),
    completedAt: completed === undefined ? undefined : now - completed,
  };
}

function ageOf(at: MonotonicInstant, now: MonotonicInstant): Milliseconds {
  return Math.min(MAX_AGE, Math.max(0, Math.round(now - at)));
}
