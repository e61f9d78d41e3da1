import type {MonotonicInstant, Quarantine} from '@hibiscusbeam/core';
import type {CrashRecord} from '@hibiscusbeam/wire';
import {createCrashRecordWriter, readCrashRecord} from './crash_records';

/** Records in one message. */
export interface SiteRecordsMessage {
  readonly crashRecords: CrashRecord[];
}

/** Writes to one stream what was not written to it yet. */
export type SiteRecordsWriter = (now: MonotonicInstant) => SiteRecordsMessage;

/** What all entries are to know, wherever it was seen. */
export interface SiteRecords {
  readonly createWriter: () => SiteRecordsWriter;
  /** Takes what another entry knows; returns whether any of it is new. */
  readonly take: (
    message: SiteRecordsMessage,
    now: MonotonicInstant,
  ) => boolean;
}

/** Creates the exchange of what an entry knows. */
export function createSiteRecords(quarantine: Quarantine): SiteRecords {
  return {
    createWriter: () => {
      const writeCrashRecords = createCrashRecordWriter(quarantine);
      return now => ({crashRecords: writeCrashRecords(now)});
    },
    take: ({crashRecords}, now) =>
      crashRecords
        .map(record => quarantine.merge(readCrashRecord(record, now)))
        .includes(true),
  };
}

/** Whether a message has nothing to say. */
export function hasNoRecords({crashRecords}: SiteRecordsMessage): boolean {
  return crashRecords.length === 0;
}
