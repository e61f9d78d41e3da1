import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from './clock';

/** Delayed view of a value. */
export interface LaggedView<Value> {
  readonly record: (value: Value) => void;
  /** Returns the value of `lag` milliseconds ago, and its age. */
  readonly read: () => {readonly value: Value; readonly age: Milliseconds};
  readonly setLag: (lag: Milliseconds) => void;
}

/** Creates a view; it keeps as much of the history as the lag needs. */
export function createLaggedView<Value>(
  clock: Clock,
  initial: Value,
): LaggedView<Value> {
  let lag: Milliseconds = 0;
  const started = clock.now();
  let history: {readonly at: MonotonicInstant; readonly value: Value}[] = [
    {at: started, value: initial},
  ];

  function dropBefore(instant: MonotonicInstant): void {
    const last = history.findLastIndex(entry => entry.at <= instant);
    if (last > 0) history = history.slice(last);
  }

  return {
    record: value => {
      const at = clock.now();
      history.push({at, value});
      dropBefore(at - lag);
    },
    read: () => {
      const now = clock.now();
      dropBefore(now - lag);
      const [oldest] = history;
      const value = oldest === undefined ? initial : oldest.value;
      return {value, age: Math.min(lag, now - started)};
    },
    setLag: newLag => {
      lag = newLag;
    },
  };
}
