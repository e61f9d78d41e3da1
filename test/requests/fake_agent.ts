import {
  createAttemptRegistry,
  type AttemptAddress,
  type AttemptEvent,
  type AttemptId,
  type AttemptRegistry,
  type TombstoneAnswer,
  type CompleteAnswer,
} from '@hibiscusbeam/core';
import {bytesOf, digestOf} from './sha256_digester';

/** A dispatch in flight, with the text that its run would answer. */
export interface Dispatch {
  readonly address: AttemptAddress;
  readonly text: string;
  readonly reply: (event: AttemptEvent) => void;
}

/** A started run; a target finishes it later. */
export interface Run extends Dispatch {
  readonly life: AttemptRegistry;
}

/** The bounds of the agents of a simulation. */
export interface FakeAgentBounds {
  readonly maximumRecords: number;
  readonly maximumRunning: number;
  readonly answerBytes: number;
}

/** One target's agent over several incarnations. */
export interface FakeAgent {
  readonly instance: string;
  readonly incarnation: () => number;
  /**
   * Delivers to the latest incarnation, or to a paused one that has resumed.
   */
  readonly deliver: (dispatch: Dispatch, toOldIncarnation: boolean) => void;
  readonly tombstone: (
    address: AttemptAddress,
    toOldIncarnation: boolean,
  ) => TombstoneAnswer;
  readonly collect: (address: AttemptAddress, reply: Dispatch['reply']) => void;
  /** Starts a new incarnation; a paused old one can still act. */
  readonly restart: (oldIncarnation: 'killed' | 'paused') => void;
  readonly toggleLeaving: () => void;
  readonly runs: () => readonly Run[];
  readonly finish: (run: Run, how: 'answered' | 'failed') => void;
}

/** The answer that a target gives to an attempt, in three frames. */
export function answerTo(attempt: AttemptId, text: string): CompleteAnswer {
  const frames = [0, 1, 2].map(part => bytesOf(`${text}|${attempt}|${part}`));
  const digest = digestOf(frames);
  return {attempt, versionDigest: undefined, frames, digest};
}

/** An answer as the frames of its stream. */
export function framesOf(
  answer: CompleteAnswer,
  incarnation: number,
): readonly AttemptEvent[] {
  const {attempt, versionDigest, frames, digest} = answer;
  const data = frames.map(
    (content, sequence) =>
      ({kind: 'data', attempt, sequence, content}) as const,
  );
  const frameCount = frames.length;
  return [
    {kind: 'started', attempt, versionDigest, incarnation},
    ...data,
    {kind: 'end', attempt, frameCount, digest},
  ];
}

/** Creates an agent at incarnation 1; `onRun` counts real runs. */
export function createFakeAgent(
  instance: string,
  bounds: FakeAgentBounds,
  now: () => number,
  onRun: (attempt: AttemptId) => void,
  onIncarnation: (incarnation: number) => void,
): FakeAgent {
  let incarnation = 1;
  let registries = [createRegistry()];
  let runs: readonly Run[] = [];
  let leaving = false;
  onIncarnation(incarnation);

  function createRegistry(): AttemptRegistry {
    return createAttemptRegistry({
      incarnation,
      maximumSenders: 100,
      answerRetention: 10_000,
      retryAfter: 10,
      ...bounds,
    });
  }

  function registryOf(old: boolean): AttemptRegistry {
    const found = old ? registries[0] : registries.at(-1);
    if (found === undefined) throw new Error('no such incarnation');
    return found;
  }

  return {
    instance,
    incarnation: () => incarnation,
    runs: () => runs,
    deliver(dispatch, toOldIncarnation) {
      const {address, reply} = dispatch;
      const {attempt} = address;
      const registry = registryOf(toOldIncarnation);
      const decision = registry.start(attempt, address.incarnation, now());
      switch (decision.kind) {
        case 'start':
          onRun(attempt);
          runs = [...runs, {...dispatch, life: registry}];
          return;
        case 'refused':
          return reply(decision.event);
        case 'replay':
          return framesOf(decision.answer, address.incarnation).forEach(reply);
        case 'failed':
          return reply({kind: 'failed', attempt, detail: decision.detail});
      }
    },
    tombstone: ({attempt, incarnation: addressed}, toOldIncarnation) =>
      registryOf(toOldIncarnation).tombstone(attempt, addressed),
    collect({attempt, incarnation: addressed}, reply) {
      const answer = registryOf(false).collect(attempt, addressed, now());
      if (answer === undefined) {
        return reply({kind: 'failed', attempt, detail: 'not kept'});
      }
      framesOf(answer, addressed).forEach(reply);
    },
    restart(oldIncarnation) {
      incarnation += 1;
      const old = registryOf(false);
      registries =
        oldIncarnation === 'paused'
          ? [old, createRegistry()]
          : [createRegistry()];
      runs = runs.filter(run => registries.includes(run.life));
      onIncarnation(incarnation);
    },
    toggleLeaving() {
      leaving = !leaving;
      for (const registry of registries) registry.setLeaving(leaving);
    },
    finish(run, how) {
      runs = runs.filter(other => other !== run);
      const {attempt} = run.address;
      if (how === 'failed') {
        run.life.finish(attempt, undefined, now());
        return run.reply({kind: 'failed', attempt, detail: 'target failed'});
      }
      const answer = answerTo(attempt, run.text);
      run.life.finish(attempt, answer, now());
      framesOf(answer, run.address.incarnation).forEach(run.reply);
    },
  };
}
