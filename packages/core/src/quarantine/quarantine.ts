import type {MonotonicInstant, RequestFingerprint, TargetLife} from '../types';
import type {
  CrashRecord,
  CrashRecordChanges,
  EndedLife,
  Quarantine,
} from './types';

/** Targets that end under a request before it is sent to no other one. */
export const ENDINGS_TO_QUARANTINE = 3;

/** Endings that are kept of one request. */
const MOST_ENDINGS = 16;

/** Requests that are remembered. */
const MOST_RECORDS = 2_000;

interface HeldRecord {
  readonly endings: Map<TargetLife, MonotonicInstant>;
  completedAt: MonotonicInstant | undefined;
  revision: number;
}

/**
 * Creates the memory of one entry. Records only grow until a whole answer resets
 * them, so entries may pass them on in any order and more than once.
 */
export function createQuarantine(mostRecords = MOST_RECORDS): Quarantine {
  const records = new Map<RequestFingerprint, HeldRecord>();
  const stored = new Set<RequestFingerprint>();
  let revision = 0;

  function noteEnding(
    fingerprint: RequestFingerprint,
    {life, endedAt}: EndedLife,
  ): boolean {
    const record = records.get(fingerprint) ?? createRecord();
    if (record.endings.has(life)) return false;
    if (endedAt <= (record.completedAt ?? -Infinity)) return false;
    if (record.endings.size >= MOST_ENDINGS) return false;
    record.endings.set(life, endedAt);
    keep(fingerprint, record);
    return true;
  }

  function noteCompletion(
    fingerprint: RequestFingerprint,
    completedAt: MonotonicInstant,
  ): boolean {
    const wasStored = stored.delete(fingerprint);
    const record = records.get(fingerprint);
    if (record === undefined && !wasStored) return false;
    return complete(fingerprint, record ?? createRecord(), completedAt);
  }

  function complete(
    fingerprint: RequestFingerprint,
    record: HeldRecord,
    completedAt: MonotonicInstant,
  ): boolean {
    if (completedAt <= (record.completedAt ?? -Infinity)) return false;
    const isNew = record.completedAt === undefined || record.endings.size > 0;
    record.completedAt = completedAt;
    for (const [life, endedAt] of [...record.endings]) {
      if (endedAt <= completedAt) record.endings.delete(life);
    }
    if (isNew) keep(fingerprint, record);
    return isNew;
  }

  function merge({fingerprint, endings, completedAt}: CrashRecord): boolean {
    let isNew = false;
    if (completedAt !== undefined && isSuspected(fingerprint)) {
      isNew = noteCompletion(fingerprint, completedAt);
    }
    for (const ending of endings) {
      if (noteEnding(fingerprint, ending)) isNew = true;
    }
    return isNew;
  }

  /** Whether a whole answer would change anything. */
  function isSuspected(fingerprint: RequestFingerprint): boolean {
    const record = records.get(fingerprint);
    return stored.has(fingerprint) || (record?.endings.size ?? 0) > 0;
  }

  function createRecord(): HeldRecord {
    return {endings: new Map(), completedAt: undefined, revision: 0};
  }

  /** Moves a changed record to the end, and makes room for it. */
  function keep(fingerprint: RequestFingerprint, record: HeldRecord): void {
    revision += 1;
    record.revision = revision;
    records.delete(fingerprint);
    records.set(fingerprint, record);
    if (records.size > mostRecords) records.delete(leastTelling());
  }

  /** The oldest record with the fewest endings. */
  function leastTelling(): RequestFingerprint {
    let least = '';
    let fewest = Infinity;
    for (const [fingerprint, {endings}] of records) {
      if (endings.size >= fewest) continue;
      least = fingerprint;
      fewest = endings.size;
    }
    return least;
  }

  function changedSince(after: number, most: number): CrashRecordChanges {
    if (after >= revision) return {records: [], revision};
    const changed = [...records].filter(([, held]) => held.revision > after);
    const taken = changed.slice(0, most);
    const isAll = taken.length === changed.length;
    return {
      records: taken.map(([fingerprint, held]) => toRecord(fingerprint, held)),
      revision: isAll ? revision : (taken.at(-1)?.[1].revision ?? after),
    };
  }

  function isQuarantined(fingerprint: RequestFingerprint): boolean {
    if (stored.has(fingerprint)) return true;
    const record = records.get(fingerprint);
    if (record === undefined) return false;
    if (record.endings.size < ENDINGS_TO_QUARANTINE) return false;
    return !isExplained(record);
  }

  /**
   * Whether another request was at each of the targets that ended, and at more:
   * then this one only shared them with it.
   */
  function isExplained({endings}: HeldRecord): boolean {
    const lives = [...endings.keys()];
    return [...records.values()].some(
      other =>
        other.endings.size > lives.length &&
        lives.every(life => other.endings.has(life)),
    );
  }

  function noteStored(
    fingerprint: RequestFingerprint,
    isStored: boolean,
  ): void {
    if (isStored) {
      stored.add(fingerprint);
      return;
    }
    // Whoever took the row out has seen the request answered whole.
    if (stored.delete(fingerprint)) records.get(fingerprint)?.endings.clear();
  }

  return {
    noteEnding,
    noteCompletion,
    merge,
    changedSince,
    isQuarantined,
    noteStored,
    forgetStored: () => stored.clear(),
  };
}

function toRecord(
  fingerprint: RequestFingerprint,
  {endings, completedAt}: HeldRecord,
): CrashRecord {
  return {
    fingerprint,
    endings: [...endings].map(([life, endedAt]) => ({life, endedAt})),
    completedAt,
  };
}
