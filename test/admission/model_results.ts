import {WARM_UP, type Call} from './model_calls';

/** Results of the callers of one priority or workspace. */
export interface CallerResults {
  requests: number;
  served: number;
  refused: number;
  late: number;
  /** Earned value divided by the value of all requests. */
  value: number;
}

/** Results of all callers. */
export interface ModelResult {
  readonly value: number;
  readonly byPriority: ReadonlyMap<number, CallerResults>;
  readonly byWorkspace: ReadonlyMap<string, CallerResults>;
  readonly largest: CallerResults;
}

export type CallEnd = 'onTime' | 'late' | 'cut' | 'refused';

export function createResults() {
  const byPriority = new Map<number, CallerResults>();
  const byWorkspace = new Map<string, CallerResults>();
  const all = emptyEarned();
  const largest = emptyEarned();
  let possible = 0;
  let earned = 0;

  function add(into: CallerResults, end: CallEnd, value: number): void {
    into.requests += 1;
    into.value += value;
    if (end === 'refused') into.refused += 1;
    else if (end === 'late') into.late += 1;
    if (end === 'onTime' || end === 'late') into.served += 1;
  }

  return {
    record: (call: Call, end: CallEnd): void => {
      if (call.at < WARM_UP) return;
      const {kind, workspace} = call;
      const value =
        end === 'onTime' ? kind.value : end === 'late' ? kind.lateValue : 0;
      possible += kind.value;
      earned += value;
      add(all, end, value / kind.value);
      if (call.isLarge) add(largest, end, value / kind.value);
      add(entryIn(byPriority, kind.priority), end, value / kind.value);
      add(entryIn(byWorkspace, workspace), end, value / kind.value);
    },
    summary: (): ModelResult => ({
      value: earned / possible,
      byPriority,
      byWorkspace,
      largest,
    }),
  };
}

function emptyEarned(): CallerResults {
  return {requests: 0, served: 0, refused: 0, late: 0, value: 0};
}

function entryIn<Key>(map: Map<Key, CallerResults>, key: Key): CallerResults {
  const known = map.get(key) ?? emptyEarned();
  map.set(key, known);
  return known;
}
