import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from './clock';

/** A value as it stood some time ago. */
export interface LaggedView<Value> {
  readonly record: (value: Value) => void;
  /** The value as it stood `lag` ago, with how old that is. */
  readonly read: () => {readonly value: Value; readonly age: Milliseconds};
  readonly setLag: (lag: Milliseconds) => void;
}

/** Keeps as much of a value's history as the lag needs. */
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
