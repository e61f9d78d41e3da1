import {
  claimKey,
  createAtMostOnceFlow,
  createAttemptSource,
  type AttemptEvent,
  type AttemptId,
  type RequestEffect,
  type RequestFlow,
  type RequestReply,
  type RequestResult,
} from '@hibiscusbeam/core';
import {Err, Ok} from 'ts-results';
import {
  answerTo,
  createFakeAgent,
  framesOf,
  type FakeAgentBounds,
} from './fake_agent';
import {createFakeTable} from './fake_table';
import {createSha256Digester} from './sha256_digester';

const DEADLINE = 1000;
const MAX_CALLS = 6;
// A run without faults takes some 30 steps; this leaves room for every bounded
// retry.
const MAX_STEPS_PER_CALL = 400;
const NO_FAULT = 15;
const FOREIGN = answerTo('another#1', 'another call');
// Created once: each Err records its stack, which takes most of a step's time.
const UNAVAILABLE = Err({kind: 'unavailable', detail: ''} as const);
const REPLY_LOST = Err({kind: 'replyLost', detail: ''} as const);

/** One call through one entry. */
export interface Call {
  readonly body: string;
  readonly flow: RequestFlow<RequestResult>;
  readonly attempts: readonly AttemptId[];
  readonly inbox: AttemptEvent[];
  pending: RequestEffect | undefined;
  result: RequestResult | undefined;
  killed: boolean;
  steps: number;
}

/** One choice of the scheduler: which action, and how it goes. */
export interface Choice {
  readonly which: number;
  readonly how: number;
}

/** The result of a simulation, to be checked. */
export interface SimulationReport {
  readonly calls: readonly Call[];
  readonly runsOf: (attempt: AttemptId) => number;
  /** Runs of the one key that all calls share. */
  readonly runs: number;
  /** Every answer that was recorded in the table, as JSON. */
  readonly recorded: readonly string[];
  /** A call made after all others, without faults. */
  readonly lastRetry: Call;
  /** Calls without an end after all faults but a frozen agent have ended. */
  readonly waiting: number;
}

type Fault = 'none' | 'lostBefore' | 'lostAfter' | 'lostLate' | 'unavailable';

function faultOf(how: number): Fault {
  switch (how % 16) {
    case 0:
      return 'lostAfter';
    case 1:
      return 'lostBefore';
    case 2:
      return 'lostLate';
    case 3:
      return 'unavailable';
    default:
      return 'none';
  }
}

/**
 * Simulates two entries, two agents, one table, and callers that retry one key.
 * Each choice steps one of them or injects a fault. After the choices the
 * faults end and everything runs to its end, late messages included.
 */
export function runSimulation(
  choices: readonly Choice[],
  bounds: FakeAgentBounds & {readonly inlineAnswerBytes: number},
): SimulationReport {
  let now = 0;
  let outageSteps = 0;
  /** An agent that accepts messages but does not answer until the end. */
  let frozen: string | undefined;
  const held: (() => void)[] = [];
  const late: (() => void)[] = [];
  const runsByAttempt = new Map<AttemptId, number>();
  const recorded: string[] = [];
  const objects = new Map<string, Uint8Array>();
  const key = claimKey('workspace', 'key');
  const table = createFakeTable((written, value) => {
    const state = value as {kind?: string};
    if (written === key && state.kind === 'answered') {
      recorded.push(JSON.stringify(value));
    }
  });
  const agents = ['agent-0', 'agent-1'].map(instance =>
    createFakeAgent(
      instance,
      bounds,
      () => now,
      attempt =>
        runsByAttempt.set(attempt, (runsByAttempt.get(attempt) ?? 0) + 1),
      incarnation => table.put(`agents/${instance}`, {incarnation}),
    ),
  );
  const sources = ['entry-0', 'entry-1'].map(createAttemptSource);
  const calls: Call[] = [];

  function agentOf(instance: string) {
    const found = agents.find(agent => agent.instance === instance);
    if (found === undefined) throw new Error(`no ${instance}`);
    return found;
  }

  /**
   * Delivers a message to an agent, or holds it back if the agent is frozen.
   */
  function reach(instance: string, message: () => void): void {
    if (frozen === instance) held.push(message);
    else message();
  }

  function startCall(entry: number, body: string): Call {
    const attempts: AttemptId[] = [];
    const flow = createAtMostOnceFlow({
      key,
      fingerprint: body,
      entry: `entry-${entry}`,
      deadline: now + DEADLINE,
      now: () => now,
      createDigester: createSha256Digester,
      createAttempt() {
        const attempt = sources[entry]!();
        attempts.push(attempt);
        return attempt;
      },
      limits: {
        answerBytes: 10_000,
        inlineAnswerBytes: bounds.inlineAnswerBytes,
        maxTargets: 3,
        maxWriteAttempts: 3,
        tombstoneTimeout: 50,
        pollInterval: 20,
        retryAfter: 10,
      },
    });
    const call: Call = {
      body,
      flow,
      attempts,
      inbox: [],
      pending: undefined,
      result: undefined,
      killed: false,
      steps: 0,
    };
    calls.push(call);
    take(call, flow.next());
    return call;
  }

  function take(
    call: Call,
    step: IteratorResult<RequestEffect, RequestResult>,
  ): void {
    call.steps += 1;
    if (step.done) {
      call.result = step.value;
      call.pending = undefined;
      return;
    }
    call.pending = step.value;
    if (step.value.kind !== 'dispatch') return;
    const {address} = step.value;
    // The complete answer to another attempt arrives first on this connection.
    if (calls.indexOf(call) % 2 === 0) {
      call.inbox.push(...framesOf(FOREIGN, address.incarnation));
    }
    const reply = (event: AttemptEvent) => void call.inbox.push(event);
    const dispatch = {address, text: call.body, reply};
    const {instance} = address;
    const agent = agentOf(instance);
    late.push(() => reach(instance, () => agent.deliver(dispatch, false)));
    // A duplicate of the message, which may reach a resumed old incarnation.
    late.push(() => reach(instance, () => agent.deliver(dispatch, true)));
  }

  function replyTo(call: Call, how: number): RequestReply | undefined {
    const effect = call.pending;
    if (effect === undefined) return undefined;
    const outage = outageSteps > 0;
    const fault = outage ? 'unavailable' : faultOf(how);
    switch (effect.kind) {
      case 'readRow':
        if (fault !== 'none') return {kind: 'row', result: UNAVAILABLE};
        return {kind: 'row', result: Ok(table.read(effect.key))};
      case 'commit': {
        const {transaction} = effect;
        if (fault === 'unavailable') {
          return {kind: 'commit', result: UNAVAILABLE};
        }
        if (fault === 'none') {
          return {kind: 'commit', result: Ok(table.commit(transaction))};
        }
        if (fault === 'lostAfter') table.commit(transaction);
        if (fault === 'lostLate') late.push(() => table.commit(transaction));
        return {kind: 'commit', result: REPLY_LOST};
      }
      case 'tombstone': {
        const {address} = effect;
        const agent = agentOf(address.instance);
        const {instance} = address;
        const tombstone = () => void agent.tombstone(address, false);
        if (fault === 'lostLate') late.push(() => reach(instance, tombstone));
        if (frozen === instance) held.push(tombstone);
        if (frozen === instance) return {kind: 'tombstone', answer: undefined};
        if (fault === 'lostAfter') agent.tombstone(address, false);
        if (fault !== 'none' && !outage) {
          return {kind: 'tombstone', answer: undefined};
        }
        const answer = agent.tombstone(address, how % 16 === 4);
        return {kind: 'tombstone', answer};
      }
      case 'chooseTarget': {
        const open = agents.filter(
          ({instance}) => !effect.exclude.includes(instance),
        );
        const agent = open[how % 3];
        if (agent === undefined) {
          const choice = {
            kind: 'none',
            reason: 'noTarget',
            retryAfter: 1,
          } as const;
          return {kind: 'choice', choice};
        }
        const {instance} = agent;
        // Routing may still know an earlier incarnation.
        const incarnation = agent.incarnation() - (how % 16 === 5 ? 1 : 0);
        const choice = {
          kind: 'target',
          target: instance,
          instance,
          incarnation,
        } as const;
        return {kind: 'choice', choice};
      }
      case 'collect':
        call.inbox.length = 0;
        if (frozen !== effect.address.instance) {
          agentOf(effect.address.instance).collect(effect.address, event =>
            call.inbox.push(event),
          );
        }
        return eventFor(call, effect.until, how);
      case 'dispatch':
      case 'awaitEvent':
        return eventFor(call, effect.until, how);
      case 'wait':
        now += effect.duration;
        return {kind: 'done'};
      case 'putObject':
        if (fault !== 'none') return {kind: 'stored', result: UNAVAILABLE};
        objects.set(effect.key, effect.content);
        return {kind: 'stored', result: Ok(undefined)};
      case 'getObject': {
        const content = objects.get(effect.key);
        if (fault !== 'none' || content === undefined) {
          return {kind: 'object', result: UNAVAILABLE};
        }
        return {kind: 'object', result: Ok(content)};
      }
      case 'emit':
      case 'cancel':
        return {kind: 'done'};
    }
  }

  function eventFor(
    call: Call,
    until: number,
    how: number,
  ): RequestReply | undefined {
    const manner = how % 16;
    if (manner === 0) return {kind: 'event', event: {kind: 'cut', detail: ''}};
    if (manner === 2) call.inbox.shift();
    const [event] = call.inbox;
    if (event !== undefined) {
      if (manner !== 3) call.inbox.shift();
      return {kind: 'event', event};
    }
    if (now >= until) return {kind: 'event', event: {kind: 'timedOut'}};
    return undefined;
  }

  function advance(call: Call, how: number): boolean {
    const reply = replyTo(call, how);
    if (reply === undefined) return false;
    take(call, call.flow.next(reply));
    return true;
  }

  function live(): readonly Call[] {
    return calls.filter(call => call.pending !== undefined && !call.killed);
  }

  function deliverLate(position: number, keep: boolean): void {
    const message = late[position];
    if (!keep) late.splice(position, 1);
    message?.();
  }

  function actions(how: number): readonly (() => unknown)[] {
    const steps = live().flatMap(call => {
      const step = () => advance(call, how);
      return [step, step, step, step];
    });
    const messages = late.flatMap((_message, position) => [
      () => deliverLate(position, false),
      () => deliverLate(position, true),
    ]);
    const awake = agents.filter(({instance}) => instance !== frozen);
    const ends = awake.flatMap(agent =>
      agent
        .runs()
        .flatMap(run => [
          () => agent.finish(run, 'answered'),
          () => agent.finish(run, how % 4 === 0 ? 'failed' : 'answered'),
        ]),
    );
    const agent = agents[how % agents.length]!;
    const disturbances = [
      () => live().forEach((call, at) => (call.killed ||= at === how % 4)),
      () => agent.restart(how % 3 === 0 ? 'paused' : 'killed'),
      () => agent.toggleLeaving(),
      () => (frozen = how % 3 === 0 ? agent.instance : undefined),
      () => (outageSteps = how % 10),
      () => (now += how % 2 === 0 ? 30 : 2 * DEADLINE),
    ];
    const body = how % 8 === 0 ? 'other' : 'body';
    const start = () => calls.length < MAX_CALLS && startCall(how % 2, body);
    return [...steps, ...messages, ...ends, start, start, ...disturbances];
  }

  function endWithoutFaults(): void {
    outageSteps = 0;
    for (let round = 0; round < MAX_STEPS_PER_CALL; round += 1) {
      while (late.length > 0) deliverLate(0, false);
      for (const agent of agents) {
        if (agent.instance === frozen) continue;
        for (const run of agent.runs()) agent.finish(run, 'answered');
      }
      const moved = live().filter(call => advance(call, NO_FAULT));
      if (live().length === 0 && late.length === 0) return;
      if (moved.length === 0) now += 10;
    }
  }

  startCall(0, 'body');
  for (const {which, how} of choices) {
    const possible = actions(how);
    possible[which % possible.length]!();
    outageSteps -= 1;
  }
  endWithoutFaults();
  const standing = table.read(key)?.value as {fingerprint?: string} | undefined;
  const lastRetry = startCall(1, standing?.fingerprint ?? 'body');
  endWithoutFaults();
  const waiting = live().length;
  // The frozen agent resumes last, with everything that was sent to it.
  frozen = undefined;
  late.push(...held);
  endWithoutFaults();
  const runs = [...runsByAttempt.values()].reduce((sum, one) => sum + one, 0);
  return {
    calls,
    runsOf: attempt => runsByAttempt.get(attempt) ?? 0,
    runs,
    recorded,
    lastRetry,
    waiting,
  };
}
