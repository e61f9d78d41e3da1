import type {MonotonicInstant, Suspect, TargetIncarnation} from '../types';
import {createRevisionedRows, type ChangedRows} from '../utils/revisioned_rows';
import {ENDINGS_TO_QUARANTINE, findCulprits} from './culprits';
import type {
  CrashRecord,
  EndedLife,
  Quarantine,
  QuarantineOptions,
  VerdictOrigin,
} from './types';

/** Maximum number of endings kept per suspect. */
const MAX_ENDINGS = 16;

/** Maximum number of suspects that are remembered. */
const MAX_RECORDS = 2_000;

/** Maximum number of suspects whose last answer is remembered. */
const MAX_ANSWERED = 8_192;

interface HeldRecord {
  readonly suspect: Suspect;
  readonly endings: Map<TargetIncarnation, EndedLife>;
  depth: number | undefined;
}

/**
 * Creates the quarantine of one entry. Records only grow until an answer resets
 * them, so entries may relay them in any order and repeatedly.
 */
export function createQuarantine(options: QuarantineOptions = {}): Quarantine {
  const {maxRecords = MAX_RECORDS, onVerdict} = options;
  const records = createRevisionedRows(maxRecords, leastSignificant);
  /** The least recently answered suspect first. */
  const answered = new Map<Suspect, MonotonicInstant>();
  const stored = new Set<Suspect>();
  let culprits: ReadonlySet<Suspect> = new Set();
  /** Whether the evidence against a possible culprit has changed. */
  let isOutdated = false;

  function recordEnding(
    suspects: readonly Suspect[],
    ending: EndedLife,
  ): readonly Suspect[] {
    const added = suspects.filter((suspect, position) =>
      addEnding(suspect, ending, position === 0 ? undefined : position),
    );
    updateVerdicts('observed');
    return added;
  }

  function addEnding(
    suspect: Suspect,
    ending: EndedLife,
    depth: number | undefined,
  ): boolean {
    const record = records.get(suspect) ?? createRecord(suspect);
    if (record.endings.has(ending.life)) return false;
    if (ending.sentAt <= answeredAt(suspect)) return false;
    if (record.endings.size >= MAX_ENDINGS) return false;
    record.endings.set(ending.life, ending);
    record.depth ??= depth;
    records.set(suspect, record);
    isOutdated ||= record.endings.size >= ENDINGS_TO_QUARANTINE;
    return true;
  }

  function answeredAt(suspect: Suspect): MonotonicInstant {
    return answered.get(suspect) ?? -Infinity;
  }

  function recordAnswer(suspect: Suspect, begunAt: MonotonicInstant): boolean {
    const isNew = takeAnswer(suspect, begunAt, 'observed');
    updateVerdicts('observed');
    return isNew;
  }

  function takeAnswer(
    suspect: Suspect,
    begunAt: MonotonicInstant,
    origin: VerdictOrigin,
  ): boolean {
    if (begunAt <= answeredAt(suspect)) return false;
    const isFirst = !answered.has(suspect);
    rememberAnswer(suspect, begunAt);
    const record = records.get(suspect) ?? createRecord(suspect);
    const sizeBefore = record.endings.size;
    isOutdated ||= sizeBefore >= ENDINGS_TO_QUARANTINE;
    for (const [life, {sentAt}] of [...record.endings]) {
      if (sentAt <= begunAt) record.endings.delete(life);
    }
    const isReleased = record.endings.size === 0 && stored.delete(suspect);
    const isCleared = record.endings.size < sizeBefore;
    const isEvidence = isCleared || (isFirst && sizeBefore > 0);
    if (!isEvidence && !isReleased) return false;
    records.set(suspect, record);
    if (isReleased && !culprits.has(suspect)) {
      onVerdict?.({suspect, isQuarantined: false, origin});
    }
    return true;
  }

  function rememberAnswer(suspect: Suspect, begunAt: MonotonicInstant): void {
    answered.delete(suspect);
    answered.set(suspect, begunAt);
    const [oldest] = answered.keys();
    if (answered.size > MAX_ANSWERED && oldest !== undefined) {
      answered.delete(oldest);
    }
  }

  function merge(others: readonly CrashRecord[]): boolean {
    const areNew = others.map(mergeOne);
    updateVerdicts('relayed');
    return areNew.includes(true);
  }

  function mergeOne(record: CrashRecord): boolean {
    const {suspect, endings, depth} = record;
    const theirs = record.answeredAt ?? -Infinity;
    let isNew = takeAnswer(suspect, theirs, 'relayed');
    for (const ending of endings) {
      if (addEnding(suspect, ending, depth)) isNew = true;
      if (ending.sentAt <= answeredAt(suspect) && theirs < ending.sentAt) {
        shareAnswer(suspect);
        isNew = true;
      }
    }
    return isNew;
  }

  /** Relays an answer that another entry has not learned of. */
  function shareAnswer(suspect: Suspect): void {
    records.set(suspect, records.get(suspect) ?? createRecord(suspect));
  }

  function updateVerdicts(origin: VerdictOrigin): void {
    if (!isOutdated) return;
    isOutdated = false;
    const before = culprits;
    culprits = findCulprits(evidence());
    for (const suspect of culprits) {
      if (before.has(suspect) || stored.has(suspect)) continue;
      onVerdict?.({suspect, isQuarantined: true, origin});
    }
    for (const suspect of before) {
      if (culprits.has(suspect)) continue;
      stored.delete(suspect);
      onVerdict?.({suspect, isQuarantined: false, origin});
    }
  }

  function* evidence() {
    for (const record of records.values()) {
      yield {...record, wasAnswered: answered.has(record.suspect)};
    }
  }

  function changedSince(
    revision: number,
    most: number,
  ): ChangedRows<CrashRecord> {
    const changed = records.changedSince(revision, most);
    return {rows: changed.rows.map(toRecord), revision: changed.revision};
  }

  function toRecord({suspect, endings, depth}: HeldRecord): CrashRecord {
    return {
      suspect,
      depth,
      endings: [...endings.values()],
      answeredAt: answered.get(suspect),
    };
  }

  function recordStored(suspect: Suspect, isStored: boolean): void {
    if (isStored) {
      // The row of an entry that ended before it learned of the answer.
      if (answered.has(suspect)) return;
      const isNew = !stored.has(suspect) && !culprits.has(suspect);
      stored.add(suspect);
      if (isNew) onVerdict?.({suspect, isQuarantined: true, origin: 'stored'});
      return;
    }
    if (!stored.delete(suspect)) return;
    // Whoever removed the row has seen an answer to a request with the suspect.
    records.get(suspect)?.endings.clear();
    isOutdated = true;
    if (culprits.has(suspect)) updateVerdicts('stored');
    else onVerdict?.({suspect, isQuarantined: false, origin: 'stored'});
  }

  return {
    recordEnding,
    recordAnswer,
    merge,
    changedSince,
    isQuarantined: suspect => culprits.has(suspect) || stored.has(suspect),
    size: () => new Set([...culprits, ...stored]).size,
    recordStored,
    forgetStored: () => stored.clear(),
  };
}

function createRecord(suspect: Suspect): HeldRecord {
  return {suspect, endings: new Map(), depth: undefined};
}

/** Returns the oldest record with the fewest endings. */
function leastSignificant(records: ReadonlyMap<Suspect, HeldRecord>): Suspect {
  let leastKey = '';
  let minEndings = Infinity;
  for (const [suspect, {endings}] of records) {
    if (endings.size >= minEndings) continue;
    leastKey = suspect;
    minEndings = endings.size;
  }
  return leastKey;
}
