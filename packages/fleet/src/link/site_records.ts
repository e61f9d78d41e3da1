import type {
  MonotonicInstant,
  Quarantine,
  RateLimits,
} from '@hibiscusbeam/core';
import type {CrashRecord, RateLimitRecord} from '@hibiscusbeam/wire';
import {createCrashRecordWriter, readCrashRecord} from './crash_records';

/** Limits in one message; the others follow in the next ones. */
const MAX_LIMITS_PER_MESSAGE = 100;

/** Records in one message. */
export interface SiteRecordsMessage {
  readonly crashRecords: CrashRecord[];
  readonly rateLimits: RateLimitRecord[];
}

/** Writes to one stream what was not written to it yet. */
export type SiteRecordsWriter = (now: MonotonicInstant) => SiteRecordsMessage;

/** What all entries are to know, wherever it was seen. */
export interface SiteRecords {
  readonly createWriter: () => SiteRecordsWriter;
  /** Takes what another entry knows; returns whether any of it is new. */
  readonly merge: (
    message: SiteRecordsMessage,
    now: MonotonicInstant,
  ) => boolean;
}

/** Creates the exchange of what an entry knows. */
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
        ...crashRecords.map(record =>
          quarantine.merge(readCrashRecord(record, now)),
        ),
        ...rateLimits.map(({life, rate, edition}) =>
          limits.merge({life, rate, edition}),
        ),
      ];
      return isNew.includes(true);
    },
  };
}

/** Whether a message has nothing to say. */
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
