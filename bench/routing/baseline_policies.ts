import type {EntryPolicy, EntryPort} from './entry_policy';

/** Baselines: no admission, no ejection, two retries on a broken connection. */
export type BaselineName = 'round-robin' | 'random' | 'least-in-flight';

/** Attempts of a request whose targets break the connection. */
const MAX_BASELINE_TRIES = 3;

/** Creates the baseline policy of one entry over the live targets. */
export function createBaselinePolicy(
  name: BaselineName,
  port: EntryPort,
): EntryPolicy {
  const live = [...port.targets];
  const inFlight = new Map<string, number>();
  let turn = Math.floor(port.random() * live.length);

  const choose = (): string | undefined => {
    switch (name) {
      case 'round-robin':
        turn += 1;
        return live[turn % live.length];
      case 'random':
        return live[Math.floor(port.random() * live.length)];
      case 'least-in-flight':
        return leastInFlight();
    }
  };

  const leastInFlight = (): string | undefined => {
    const start = Math.floor(port.random() * live.length);
    let best: string | undefined;
    for (let step = 0; step < live.length; step += 1) {
      const target = live[(start + step) % live.length]!;
      if (best === undefined || count(target) < count(best)) best = target;
    }
    return best;
  };

  const count = (target: string): number => inFlight.get(target) ?? 0;

  const add = (target: string, change: number): void => {
    inFlight.set(target, count(target) + change);
  };

  return {
    onRequest: request => {
      const target = choose();
      if (target === undefined) return;
      add(target, 1);
      port.send(request, target, 0);
    },
    onToken: () => {},
    onEnd: ({target}) => add(target, -1),
    onFailure: ({request, target, tries}) => {
      add(target, -1);
      if (tries >= MAX_BASELINE_TRIES) return;
      const next = choose();
      if (next === undefined) return;
      add(next, 1);
      port.send(request, next, 0);
    },
    onReport: () => {},
    onEntryGone: () => {},
    onTargetGone: target => {
      const position = live.indexOf(target);
      if (position >= 0) live.splice(position, 1);
    },
  };
}
