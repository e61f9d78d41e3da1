import {
  createActivation,
  incarnationKey,
  type Activation,
  type ActivationFlow,
  type CommitEffect,
  type Incarnation,
  type ReadRowEffect,
} from '@hibiscusbeam/core';
import type {SteppedTable, TableFault} from '../fixtures/stepped_table';

/** An agent of one target; several may believe that they are in charge. */
export interface SteppedAgent {
  readonly incarnation: Incarnation;
  readonly activation: Activation;
  generation: number;
  /**
   * Capacity floor and number of dead targets when the last permit was
   * requested.
   */
  permitFor: {readonly floor: number; readonly deaths: number} | undefined;
  readonly begin: (flow: ActivationFlow) => void;
  readonly advance: (fault: TableFault) => void;
  /** Advances the flow that the current one has superseded. */
  readonly advanceSuperseded: (fault: TableFault) => void;
}

interface RunningFlow {
  readonly flow: ActivationFlow;
  readonly effect: ReadRowEffect | CommitEffect;
}

/** A target with its engine, which checks fencing numbers. */
export interface SteppedTarget {
  readonly name: string;
  loaded: boolean;
  dead: boolean;
  highestFencing: Incarnation;
  /** Ordered by age; the newest one is in charge. */
  readonly agents: SteppedAgent[];
}

/** Creates a target whose engine serves. */
export function createSteppedTarget(name: string): SteppedTarget {
  return {name, loaded: true, dead: false, highestFencing: 0, agents: []};
}

/** Starts a new agent while the earlier one may still be running. */
export function startAgent(table: SteppedTable, target: SteppedTarget): void {
  const incarnation = target.agents.length + 1;
  const key = incarnationKey(target.name);
  const value = {incarnation, token: `${target.name} ${incarnation}`};
  table.commit({conditions: [], writes: [{kind: 'put', key, value}]}, 'none');
  const activation = createActivation({
    model: 'notes',
    target: target.name,
    instance: target.name,
    incarnation,
    token: value.token,
    stillCurrent: {kind: 'versionIs', key, version: incarnation},
  });
  target.agents.push(createAgent(table, incarnation, activation));
}

function createAgent(
  table: SteppedTable,
  incarnation: Incarnation,
  activation: Activation,
): SteppedAgent {
  let current: RunningFlow | undefined;
  let superseded: RunningFlow | undefined;
  return {
    incarnation,
    activation,
    generation: 1,
    permitFor: undefined,
    begin: flow => {
      superseded = current;
      current = begin(flow);
    },
    advance: fault => {
      current = advance(table, current, fault);
    },
    advanceSuperseded: fault => {
      superseded = advance(table, superseded, fault);
    },
  };
}

function begin(flow: ActivationFlow): RunningFlow | undefined {
  const first = flow.next();
  return first.done === true ? undefined : {flow, effect: first.value};
}

function advance(
  table: SteppedTable,
  running: RunningFlow | undefined,
  fault: TableFault,
): RunningFlow | undefined {
  if (running === undefined) return undefined;
  const {flow, effect} = running;
  const reply =
    effect.kind === 'readRow'
      ? table.read(effect.key, fault)
      : table.commit(effect.transaction, fault);
  const next = flow.next(reply);
  return next.done === true ? undefined : {flow, effect: next.value};
}
