import type {
  MonotonicInstant,
  RequestFingerprint,
  TargetIncarnation,
} from '../types';
import {createRevisionedRows, type ChangedRows} from '../utils/revisioned_rows';
import type {CrashRecord, EndedLife, Quarantine} from './types';

/** Targets that end under a request before it is sent to no other one. */
export const ENDINGS_TO_QUARANTINE = 3;

/** Endings that are kept of one request. */
const MAX_ENDINGS = 16;

/** Requests that are remembered. */
const MAX_RECORDS = 2_000;

interface HeldRecord {
  readonly fingerprint: RequestFingerprint;
  readonly endings: Map<TargetIncarnation, MonotonicInstant>;
  completedAt: MonotonicInstant | undefined;
}

/**
 * Creates the memory of one entry. Records only grow until a whole answer resets
 * them, so entries may pass them on in any order and more than once.
 */
export function createQuarantine(maxRecords = MAX_RECORDS): Quarantine {
  const records = createRevisionedRows(maxRecords, leastSignificant);
  const stored = new Set<RequestFingerprint>();

  function recordEnding(
    fingerprint: RequestFingerprint,
    {life, endedAt}: EndedLife,
  ): boolean {
    const record = records.get(fingerprint) ?? createRecord(fingerprint);
    if (record.endings.has(life)) return false;
    if (endedAt <= (record.completedAt ?? -Infinity)) return false;
    if (record.endings.size >= MAX_ENDINGS) return false;
    record.endings.set(life, endedAt);
    records.set(fingerprint, record);
    return true;
  }

  function recordCompletion(
    fingerprint: RequestFingerprint,
    completedAt: MonotonicInstant,
  ): boolean {
    const wasStored = stored.delete(fingerprint);
    const record = records.get(fingerprint);
    if (record === undefined && !wasStored) return false;
    return complete(record ?? createRecord(fingerprint), completedAt);
  }

  function complete(
    record: HeldRecord,
    completedAt: MonotonicInstant,
  ): boolean {
    if (completedAt <= (record.completedAt ?? -Infinity)) return false;
    const isNew = record.completedAt === undefined || record.endings.size > 0;
    record.completedAt = completedAt;
    for (const [life, endedAt] of [...record.endings]) {
      if (endedAt <= completedAt) record.endings.delete(life);
    }
    if (isNew) records.set(record.fingerprint, record);
    return isNew;
  }

  function merge({fingerprint, endings, completedAt}: CrashRecord): boolean {
    let isNew = false;
    if (completedAt !== undefined && isSuspected(fingerprint)) {
      isNew = recordCompletion(fingerprint, completedAt);
    }
    for (const ending of endings) {
      if (recordEnding(fingerprint, ending)) isNew = true;
    }
    return isNew;
  }

  /** Whether a whole answer would change anything. */
  function isSuspected(fingerprint: RequestFingerprint): boolean {
    const record = records.get(fingerprint);
    return stored.has(fingerprint) || (record?.endings.size ?? 0) > 0;
  }

  function changedSince(
    revision: number,
    most: number,
  ): ChangedRows<CrashRecord> {
    const changed = records.changedSince(revision, most);
    return {rows: changed.rows.map(toRecord), revision: changed.revision};
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

  function recordStored(
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
    recordEnding,
    recordCompletion,
    merge,
    changedSince,
    isQuarantined,
    recordStored,
    forgetStored: () => stored.clear(),
  };
}

function createRecord(fingerprint: RequestFingerprint): HeldRecord {
  return {fingerprint, endings: new Map(), completedAt: undefined};
}

/** The oldest record with the fewest endings. */
function leastSignificant(
  records: ReadonlyMap<RequestFingerprint, HeldRecord>,
): RequestFingerprint {
  let least = '';
  let fewest = Infinity;
  for (const [fingerprint, {endings}] of records) {
    if (endings.size >= fewest) continue;
    least = fingerprint;
    fewest = endings.size;
  }
  return least;
}

function toRecord({
  fingerprint,
  endings,
  completedAt,
}: HeldRecord): CrashRecord {
  return {
    fingerprint,
    endings: [...endings].map(([life, endedAt]) => ({life, endedAt})),
    completedAt,
  };
}
