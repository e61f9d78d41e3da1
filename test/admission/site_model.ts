import {createFairOrder, type WaitingRequest} from '@hibiscusbeam/core';
import {
  PLACES,
  PROMPT_TOKENS_PER_MILLISECOND,
  createRandom,
  expectedSlotTime,
  generateCalls,
  stepTime,
  type Call,
  type ModelOptions,
} from './model_calls';
import {createDecisions} from './model_decisions';
import {createEvents} from './model_events';
import {createResults, type ModelResult} from './model_results';

const DEADLINE = 6_000;
/** Time until an entry sees a slot that another one has released. */
const REPORT_AGE = 100;
interface Engine {
  running: number;
  readUntil: number;
}

/** Simulates a generated load on a site; the same seed gives the same calls. */
export function runModel(options: ModelOptions): ModelResult {
  const {policy, engines: engineCount} = options;
  const isSingle = policy === 'singleQueue';
  const entryCount = isSingle ? 1 : options.entries;
  const calls = generateCalls(options);
  const engines: Engine[] = Array.from({length: engineCount}, () => ({
    running: 0,
    readUntil: 0,
  }));
  const random = createRandom(options.seed + 1);
  let now = 0;
  let free = engineCount * PLACES;
  const events = createEvents();
  const waiting: Call[][] = Array.from({length: entryCount}, () => []);
  const orders = Array.from({length: entryCount}, createFairOrder);
  const results = createResults();
  const entryOf = (call: Call): number => (isSingle ? 0 : call.entry);

  function onTimeUntil({at, kind, promptTokens}: Call): number {
    const read = promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
    return at + kind.objective - read * 1.5 - 100;
  }

  /**
   * With complete knowledge, the best engine; otherwise the one with the lowest
   * load of four, as entries don't see the prompts that others have just sent.
   */
  function chooseEngine(): Engine {
    let best: Engine | undefined;
    const first = Math.floor(random() * engineCount);
    let seen = 0;
    for (let index = 0; index < engineCount; index += 1) {
      const engine = engines[(first + index) % engineCount]!;
      if (engine.running >= PLACES) continue;
      if (best === undefined || costOf(engine) < costOf(best)) best = engine;
      seen += 1;
      if (seen >= (isSingle ? 40 : 4)) break;
    }
    return best!;
  }

  function costOf({running, readUntil}: Engine): number {
    const unread = isSingle ? Math.max(0, readUntil - now) : 0;
    return running / PLACES + unread / 400;
  }

  function start(call: Call): void {
    const engine = chooseEngine();
    engine.running += 1;
    free -= 1;
    const read = call.promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
    engine.readUntil = Math.max(now, engine.readUntil) + read;
    const step = stepTime(engine.running);
    const firstEvent = engine.readUntil + 5 * step;
    const end = engine.readUntil + call.tokens * step;
    const isServed = end - call.at < DEADLINE;
    const isLate = firstEvent - call.at > call.kind.objective;
    results.record(call, isServed ? (isLate ? 'late' : 'onTime') : 'cut');
    events.add(end, () => {
      engine.running -= 1;
      free += 1;
      serve(entryOf(call));
      if (!isSingle) events.add(now + random() * REPORT_AGE, serveAny);
    });
  }

  function serve(entry: number): boolean {
    const queue = waiting[entry]!;
    while (queue.length > 0 && free > 0) {
      sortQueue(queue, entry);
      const call = queue.shift()!;
      if (now > onTimeUntil(call)) {
        refuse(call, now - call.at);
        continue;
      }
      decisions.recordWait(entry, now - call.at);
      orders[entry]!.recordStart(toWaiting(call), now);
      start(call);
      return true;
    }
    return false;
  }

  /** Without the level: by priority, then by the time left. */
  function sortQueue(queue: Call[], entry: number): void {
    const order = orders[entry]!;
    queue.sort((one, other) =>
      policy === 'level' || isSingle
        ? order.compare(toWaiting(one), toWaiting(other), now)
        : one.kind.priority - other.kind.priority ||
          onTimeUntil(one) - onTimeUntil(other),
    );
  }

  function toWaiting(call: Call): WaitingRequest {
    return {
      isResumed: false,
      priority: call.kind.priority,
      onTimeUntil: onTimeUntil(call),
      isLaterAttempt: false,
      workspace: call.workspace,
      slotTime: expectedSlotTime(call.kind),
    };
  }

  function serveAny(): void {
    const first = Math.floor(random() * entryCount);
    for (let index = 0; index < entryCount && free > 0; index += 1) {
      if (serve((first + index) % entryCount)) return;
    }
  }

  function refuse(call: Call, waited: number): void {
    decisions.recordWait(entryOf(call), waited);
    results.record(call, 'refused');
  }

  const decisions = createDecisions(options, {
    now: () => now,
    free: () => free,
    waiting: entry => waiting[entry]!.length,
    after: (delay, run) => events.add(now + delay, run),
  });

  for (const call of calls) {
    events.runUntil(call.at, at => (now = at));
    now = call.at;
    const entry = entryOf(call);
    if (!decisions.admits(call, entry)) {
      results.record(call, 'refused');
      continue;
    }
    waiting[entry]!.push(call);
    if (free > 0) serve(entry);
    const limit = onTimeUntil(call);
    if (waiting[entry]!.includes(call)) {
      events.add(limit + 1, () => {
        const queue = waiting[entry]!;
        const index = queue.indexOf(call);
        if (index < 0) return;
        queue.splice(index, 1);
        refuse(call, now - call.at);
      });
    }
  }
  return results.summary();
}
