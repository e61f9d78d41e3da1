import type {EntryState, StateBatch} from '@hibiscusbeam/wire';
import {
  createRowNumbers,
  type NumberedRow,
  type SentRows,
} from './numbered_rows';

/** An entry's state to be relayed, with the one that was sent whole. */
export interface RelayedState {
  readonly baseRow: NumberedRow<EntryState>;
  readonly ageMilliseconds: number;
}

/**
 * Creates a function that numbers states to be relayed: an unchanged entry
 * takes 3 bytes instead of 30, each second for each follower.
 */
export function createStateNumbers(): (state: EntryState) => RelayedState {
  const numbers = createRowNumbers<EntryState>(
    (one, other) => one.ready === other.ready,
  );
  return state => ({
    baseRow: numbers.assign(state.instance, state),
    ageMilliseconds: state.ageMilliseconds,
  });
}

/** Writes states for one receiver. */
export function writeStates(
  states: readonly RelayedState[],
  sentRows: SentRows,
): StateBatch {
  const batch: StateBatch = {whole: [], numbers: [], agesMilliseconds: []};
  for (const {baseRow: row, ageMilliseconds} of states) {
    const {number} = row;
    if (sentRows.mustSendWhole(row)) batch.whole.push({number, state: row.row});
    batch.numbers.push(number);
    batch.agesMilliseconds.push(ageMilliseconds);
  }
  return batch;
}

/** Creates a reader for the states of one stream. */
export function createStateReader(): (
  batch: StateBatch,
) => readonly EntryState[] {
  const rows = new Map<number, EntryState>();

  return ({whole, numbers, agesMilliseconds}) => {
    for (const {number, state} of whole) {
      if (state !== undefined) rows.set(number, state);
    }
    return numbers.flatMap((number, index) => {
      const state = rows.get(number);
      const ageMilliseconds = agesMilliseconds[index];
      if (state === undefined || ageMilliseconds === undefined) return [];
      return {...state, ageMilliseconds};
    });
  };
}
