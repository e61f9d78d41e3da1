import type {
  MonotonicInstant,
  RequestFingerprint,
  TargetIncarnation,
} from '../types';
import {createRevisionedRows, type ChangedRows} from '../utils/revisioned_rows';
import type {CrashRecord, EndedLife, Quarantine} from './types';

/**
 * Number of targets that may end while running a request before it is
 * quarantined.
 */
export const ENDINGS_TO_QUARANTINE = 3;

/** Maximum number of endings kept per request. */
const MAX_ENDINGS = 16;

/** Maximum number of requests that are remembered. */
const MAX_RECORDS = 2_000;

interface HeldRecord {
  readonly fingerprint: RequestFingerprint;
  readonly endings: Map<TargetIncarnation, MonotonicInstant>;
  completedAt: MonotonicInstant | undefined;
}

/**
 * Creates the quarantine of one entry. Records only grow until a complete
 * response resets them, so entries may relay them in any order and repeatedly.
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

  /** Whether a complete response would change anything. */
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
   * Whether another request was at each of the targets that ended, and at more;
   * then this request only shared them.
   */
  function isExplained({endings}: HeldRecord): boolean {
    const incarnations = [...endings.keys()];
    return [...records.values()].some(
      other =>
        other.endings.size > incarnations.length &&
        incarnations.every(life => other.endings.has(life)),
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
    // Whoever removed the row has seen a complete response to the request.
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

/** Returns the oldest record with the fewest endings. */
function leastSignificant(
  records: ReadonlyMap<RequestFingerprint, HeldRecord>,
): RequestFingerprint {
  let leastKey = '';
  let minEndings = Infinity;
  for (const [fingerprint, {endings}] of records) {
    if (endings.size >= minEndings) continue;
    leastKey = fingerprint;
    minEndings = endings.size;
  }
  return leastKey;
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
