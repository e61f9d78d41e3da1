import type {FloorBase} from '@hibiscusbeam/core';

/** How the entries of a simulated site admit requests. */
export type Policy = 'none' | 'delayThreshold' | 'level' | 'singleQueue';

/** A simulated site under a load. */
export interface ModelOptions {
  readonly policy: Policy;
  readonly entries: number;
  readonly engines: number;
  /** Demand divided by capacity. */
  readonly load: number;
  readonly seed: number;
  readonly utilization?: number;
  readonly floorBase?: FloorBase;
  /** Measured time after the warm-up, in milliseconds. */
  readonly length?: number;
  /**
   * Share of the demand from one workspace; the others share the rest evenly.
   */
  readonly hotWorkspace?: number;
  /** Load before the measured time; the same load if undefined. */
  readonly loadBefore?: number;
}

export interface Kind {
  readonly priority: number;
  readonly objective: number;
  readonly value: number;
  readonly lateValue: number;
  readonly promptTokens: number;
  readonly tokens: number;
  readonly share: number;
}

export const KINDS: readonly Kind[] = [
  {
    ...{priority: 0, objective: 402, value: 3.2, lateValue: 0.32},
    ...{promptTokens: 787, tokens: 105, share: 0.34},
  },
  {
    ...{priority: 1, objective: 402, value: 1.3, lateValue: 0.31},
    ...{promptTokens: 607, tokens: 70, share: 0.33},
  },
  {
    ...{priority: 2, objective: 1_003, value: 1, lateValue: 0.33},
    ...{promptTokens: 1_290, tokens: 105, share: 0.33},
  },
];

export const PLACES = 12;
export const PROMPT_TOKENS_PER_MILLISECOND = 20.7;
/** Time before results are counted. */
export const WARM_UP = 3_000;
const WORKSPACES = 24;

/** Time of a token step with `running` requests and their prompts. */
export function stepTime(running: number): number {
  return (9.27 + 0.15 * running) * (1 + 0.1 * (running / PLACES));
}

export function expectedSlotTime({promptTokens, tokens}: Kind): number {
  const read = promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
  return read + tokens * stepTime(PLACES);
}

export interface Call {
  readonly at: number;
  readonly kind: Kind;
  readonly workspace: string;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly entry: number;
  readonly isLarge: boolean;
}

export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

export function generateCalls(options: ModelOptions): readonly Call[] {
  const {entries, engines, load, seed, length = 6_000} = options;
  const random = createRandom(seed);
  const meanTime = KINDS.reduce(
    (sum, kind) => sum + kind.share * expectedSlotTime(kind),
    0,
  );
  const ratePerLoad = (engines * PLACES) / meanTime;
  const calls: Call[] = [];
  let at = 0;
  for (;;) {
    const nowLoad = at < WARM_UP ? (options.loadBefore ?? load) : load;
    at -= Math.log(1 - random()) / (ratePerLoad * nowLoad);
    if (at > WARM_UP + length) return calls;
    const draw = random();
    const kind =
      draw < KINDS[0]!.share
        ? KINDS[0]!
        : draw < KINDS[0]!.share + KINDS[1]!.share
          ? KINDS[1]!
          : KINDS[2]!;
    const isHot = random() < (options.hotWorkspace ?? 0.2);
    const normal =
      Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const spread = Math.min(2.5, Math.exp(0.7 * normal - 0.245));
    calls.push({
      at,
      kind,
      workspace: isHot ? 'hot' : `w${1 + Math.floor(random() * WORKSPACES)}`,
      tokens: kind.tokens * spread,
      promptTokens: kind.promptTokens * (0.6 + 0.8 * random()),
      entry: Math.floor(random() * entries),
      isLarge: spread > 1.6,
    });
  }
}
