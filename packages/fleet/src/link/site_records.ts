import type {
  MonotonicInstant,
  Quarantine,
  RateLimits,
} from '@hibiscusbeam/core';
import type {CrashRecord, RateLimitRecord} from '@hibiscusbeam/wire';
import {createCrashRecordWriter, readCrashRecord} from './crash_records';

/** Maximum number of limits in one message; the others follow in later ones. */
const MAX_LIMITS_PER_MESSAGE = 100;

/** Records in one message. */
export interface SiteRecordsMessage {
  readonly crashRecords: CrashRecord[];
  readonly rateLimits: RateLimitRecord[];
}

/** Returns the records not yet written to one stream. */
export type SiteRecordsWriter = (now: MonotonicInstant) => SiteRecordsMessage;

/** Records that are exchanged between all entries. */
export interface SiteRecords {
  readonly createWriter: () => SiteRecordsWriter;
  /** Merges another entry's records; returns whether any of them is new. */
  readonly merge: (
    message: SiteRecordsMessage,
    now: MonotonicInstant,
  ) => boolean;
}

/** Creates the exchange of an entry's records. */
export function createSiteRecords(
  quarantine: Quarantine,
  limits: RateLimits,
): SiteRecords {
  return {
    createWriter: () => {
      const writeCrashRecords = createCrashRecordWriter(quarantine);
      const writeRateLimits = createRateLimitWriter(limits);
      return now => ({
        crashRecords: writeCrashRecords(now),
        rateLimits: writeRateLimits(),
      });
    },
    merge: ({crashRecords, rateLimits}, now) => {
      const isNew = [
        quarantine.merge(
          crashRecords.map(record => readCrashRecord(record, now)),
        ),
        ...rateLimits.map(({life, rate, edition}) =>
          limits.merge({life, rate, edition}),
        ),
      ];
      return isNew.includes(true);
    },
  };
}

/** Whether a message contains no records. */
export function hasNoRecords(message: SiteRecordsMessage): boolean {
  return message.crashRecords.length + message.rateLimits.length === 0;
}

function createRateLimitWriter(limits: RateLimits): () => RateLimitRecord[] {
  let written = 0;
  return () => {
    const {rows, revision} = limits.changedSince(
      written,
      MAX_LIMITS_PER_MESSAGE,
    );
    written = revision;
    return [...rows];
  };
}
