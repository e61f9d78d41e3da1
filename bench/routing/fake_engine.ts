import type {FakeClock} from './fake_clock';
import type {LoadRequest} from './load';

/** Speed and capacity of an engine. */
export interface EngineSettings {
  readonly slots: number;
  /** Time of a step: fixed, per decoding sequence, per prefilled token. */
  readonly stepMilliseconds: number;
  readonly sequenceMilliseconds: number;
  readonly prefillMilliseconds: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  readonly prefillChunk: number;
  /** Capacity of the prefix cache, in addition to the running sequences. */
  readonly cacheTokens: number;
}

/** Receives the events of a submitted sequence. */
export interface SequenceListener {
  /** Called for each token with the number of tokens produced so far. */
  readonly onToken: (produced: number) => void;
  readonly onFinish: () => void;
  readonly onFailure: () => void;
}

/** One attempt at an engine. */
export interface Submission {
  readonly attempt: string;
  readonly request: LoadRequest;
  readonly priority: number;
  /** Tokens that the caller already has; they are prefilled, not generated. */
  readonly alreadyProduced: number;
  readonly listener: SequenceListener;
}

/** The load that an engine reports. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly cachedPrefixes: readonly number[];
}

/** An engine with continuous batching on a fake clock. */
export interface FakeEngine {
  readonly submit: (submission: Submission) => void;
  readonly cancel: (attempt: string) => void;
  readonly load: () => EngineLoad;
  readonly setSlowFactor: (factor: number) => void;
  readonly freeze: () => void;
  readonly kill: () => void;
  readonly isDead: () => boolean;
  /** Prefix cache lookups and hits so far. */
  readonly cacheCounts: () => {readonly lookups: number; readonly hits: number};
}

interface Sequence {
  readonly submission: Submission;
  prefillLeft: number;
  produced: number;
}

/** Creates an idle engine. */
export function createFakeEngine(
  clock: FakeClock,
  settings: EngineSettings,
): FakeEngine {
  /** Token counts by prefix, from least to most recently used. */
  const cache = new Map<number, number>();
  let cachedTokens = 0;
  let lookups = 0;
  let hits = 0;
  let running: Sequence[] = [];
  let queue: Submission[] = [];
  let stepping = false;
  let slowFactor = 1;
  let frozen = false;
  let dead = false;

  const submit = (submission: Submission): void => {
    const later = queue.findIndex(q => q.priority > submission.priority);
    if (later < 0) queue.push(submission);
    else queue.splice(later, 0, submission);
    startStep();
  };

  const startStep = (): void => {
    if (stepping || frozen || dead) return;
    fillSlots();
    if (running.length === 0) return;
    stepping = true;
    const prefilled = prefillChunk();
    const decoding = running.filter(s => s.prefillLeft === 0).length;
    const time =
      settings.stepMilliseconds +
      settings.sequenceMilliseconds * decoding +
      settings.prefillMilliseconds * prefilled;
    clock.schedule(time * slowFactor, endStep);
  };

  const fillSlots = (): void => {
    while (running.length < settings.slots && queue.length > 0) {
      const submission = queue.shift()!;
      const {request, alreadyProduced} = submission;
      const cached = lookUp(request.prefix) ? request.prefixTokens : 0;
      running.push({
        submission,
        prefillLeft: request.promptTokens + alreadyProduced - cached,
        produced: alreadyProduced,
      });
    }
  };

  const lookUp = (prefix: number): boolean => {
    lookups += 1;
    const tokens = cache.get(prefix);
    if (tokens === undefined) return false;
    hits += 1;
    cache.delete(prefix);
    cache.set(prefix, tokens);
    return true;
  };

  /** Prefills the oldest prompts first, at most one chunk in total. */
  const prefillChunk = (): number => {
    let left = settings.prefillChunk;
    for (const sequence of running) {
      if (left === 0) break;
      const part = Math.min(left, sequence.prefillLeft);
      sequence.prefillLeft -= part;
      left -= part;
      if (part > 0 && sequence.prefillLeft === 0) {
        cachePrefix(sequence.submission.request);
      }
    }
    return settings.prefillChunk - left;
  };

  const cachePrefix = (request: LoadRequest): void => {
    if (cache.has(request.prefix)) return;
    cache.set(request.prefix, request.prefixTokens);
    cachedTokens += request.prefixTokens;
    for (const [prefix, tokens] of cache) {
      if (cachedTokens <= settings.cacheTokens) return;
      cache.delete(prefix);
      cachedTokens -= tokens;
    }
  };

  const endStep = (): void => {
    stepping = false;
    if (frozen || dead) return;
    const ready = running.filter(s => s.prefillLeft === 0);
    for (const sequence of ready) {
      sequence.produced += 1;
      sequence.submission.listener.onToken(sequence.produced);
    }
    const isDone = (s: Sequence): boolean =>
      s.produced >= s.submission.request.outputTokens;
    const done = running.filter(isDone);
    running = running.filter(s => !isDone(s));
    for (const sequence of done) sequence.submission.listener.onFinish();
    startStep();
  };

  const cancel = (attempt: string): void => {
    running = running.filter(s => s.submission.attempt !== attempt);
    queue = queue.filter(s => s.attempt !== attempt);
  };

  const kill = (): void => {
    dead = true;
    const lost = [...running.map(s => s.submission), ...queue];
    running = [];
    queue = [];
    for (const submission of lost) submission.listener.onFailure();
  };

  return {
    submit,
    cancel,
    load: () => ({
      running: running.length,
      queued: queue.length,
      cachedPrefixes: [...cache.keys()],
    }),
    setSlowFactor: factor => {
      slowFactor = factor;
    },
    freeze: () => {
      frozen = true;
    },
    kill,
    isDead: () => dead,
    cacheCounts: () => ({lookups, hits}),
  };
}
