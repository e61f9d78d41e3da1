import {
  type AcceptedConfiguration,
  initialConfiguration,
  type Intent,
  type PlanFacts,
} from '@hibiscusbeam/core';
import {describe, expect, test} from 'vitest';
import {
  acceptedOf,
  FACTS,
  intentOf,
  KNOWN_TARGETS,
  planOf,
} from '../fixtures/configuration_samples';
import {sha256Text} from '../fixtures/memory_table';

const EMPTY = initialConfiguration(sha256Text);
const ALL = KNOWN_TARGETS.map(known => known.target);
const JOIN_ALL = {kind: 'join', targets: ALL};

function serve(version: string, rest: object) {
  return {kind: 'serve', model: 'repair-notes', version, ...rest};
}

function after(base: AcceptedConfiguration, ...changes: readonly unknown[]) {
  const planId = `plan-${base.generation + 1}`;
  return acceptedOf(planOf(intentOf(...changes), base, planId).unwrap());
}

function refusals(
  base: AcceptedConfiguration,
  intent: Intent,
  facts: PlanFacts = FACTS,
) {
  const result = planOf(intent, base, 'plan-x', facts);
  return result.err ? result.val.map(fault => fault.kind) : [];
}

describe('planning an intent', () => {
  test('shows targets, origin bytes, time, capacity and owners', () => {
    const base = after(EMPTY, JOIN_ALL);
    const change = serve('1', {targets: {zone: 'oviedo-hall'}});
    const plan = planOf(intentOf(change), base, 'plan-2').unwrap();
    const {targets} = plan.configuration.models['repair-notes']!;
    expect(targets).toHaveLength(3);
    expect(targets.every(name => name.includes('oviedo-hall'))).toBe(true);
    expect(plan.originBytes).toBe(4_000_000);
    // One copy takes 8 s over an instance's link, and 4 s over the origin's.
    expect(plan.expectedSeconds).toBe(8);
    expect(plan.capacity).toEqual([
      {model: 'repair-notes', before: 0, lowest: 0, after: 3},
    ]);
    expect(plan.changes.map(item => item.subject.kind)).toEqual(['model']);
    expect(plan.base).toBe(1);
  });

  test('takes no origin bytes for a version that others hold', () => {
    const first = after(EMPTY, JOIN_ALL, serve('1', {targets: {count: 2}}));
    const more = serve('1', {targets: {count: 4}, capacityFloor: 2});
    const plan = planOf(intentOf(more), first, 'plan-2').unwrap();
    expect(plan.originBytes).toBe(0);
    expect(plan.capacity).toMatchObject([{before: 2, lowest: 2, after: 4}]);
    const old = first.configuration.models['repair-notes']!.targets;
    const now = plan.configuration.models['repair-notes']!.targets;
    expect(now).toEqual(expect.arrayContaining([...old]));
  });

  test('keeps the floor while versions swap, and warns if no target can swap', () => {
    const base = after(EMPTY, JOIN_ALL, serve('1', {targets: {count: 3}}));
    const swap = serve('2', {targets: {count: 3}, capacityFloor: 3});
    const plan = planOf(intentOf(swap), base, 'plan-2').unwrap();
    expect(plan.capacity).toMatchObject([{before: 3, lowest: 3, after: 3}]);
    expect(plan.warnings.map(item => item.kind)).toEqual(['noRoomToSwap']);
  });

  test('refuses impossible changes with all reasons', () => {
    const joined = after(EMPTY, JOIN_ALL);
    const older = after(EMPTY, {...JOIN_ALL, owner: 'older-system'});
    const one = {targets: {instances: ['instance-oviedo-hall-1']}};
    const two = intentOf(serve('9', one), {kind: 'leave', targets: ['x']});
    expect(refusals(joined, two)).toEqual(['versionMissing', 'unknownTarget']);
    expect(refusals(older, intentOf(serve('1', one)))).toEqual([
      'ownedByOlderSystem',
    ]);
    const floor = serve('1', {targets: {count: 2}, capacityFloor: 3});
    expect(refusals(joined, intentOf(floor))).toEqual(['floorAboveTargets']);
    const many = serve('1', {targets: {count: 7}});
    expect(refusals(joined, intentOf(many))).toEqual(['tooFewTargets']);
    const service = serve('1', {targets: {instances: ['invoicing-1']}});
    expect(refusals(joined, intentOf(service))).toEqual(['wrongKind']);
    const switchOff = intentOf({kind: 'switch-off'});
    expect(refusals(older, switchOff)).toEqual(['stillOwnedByOlderSystem']);
    const again = intentOf({...JOIN_ALL, owner: 'older-system'});
    expect(new Set(refusals(joined, again))).toEqual(new Set(['changesOwner']));
    expect(refusals(joined, intentOf(JOIN_ALL))).toEqual(['nothingToChange']);
    const twice = intentOf(JOIN_ALL, {kind: 'leave', targets: ['invoicing-1']});
    expect(refusals(joined, twice)).toContain('statedTwice');
  });

  test('refuses to swap all serving targets for others at once', () => {
    const zone = (name: string) =>
      serve('1', {targets: {zone: name}, capacityFloor: 2});
    const base = after(EMPTY, JOIN_ALL, zone('bilbao-hall'));
    expect(refusals(base, intentOf(zone('oviedo-hall')))).toEqual([
      'floorBroken',
    ]);
  });

  test('removes a leaving target from its models, but not the last one', () => {
    const change = serve('1', {targets: {count: 2}, capacityFloor: 1});
    const base = after(EMPTY, JOIN_ALL, change);
    const [first, second] = base.configuration.models['repair-notes']!.targets;
    const leave = (...targets: readonly unknown[]) =>
      intentOf({kind: 'leave', targets});
    const plan = planOf(leave(first), base, 'plan-2').unwrap();
    const {models, targets} = plan.configuration;
    expect(models['repair-notes']!.targets).toEqual([second]);
    expect(targets[first!]!.state).toBe('leaving');
    expect(refusals(base, leave(first, second))).toContain('stillServes');
  });

  test('closes moving items and shows both owners', () => {
    const workspace = {
      kind: 'workspace',
      workspace: 'w',
      owner: 'older-system',
    };
    const base = after(EMPTY, workspace);
    const own = {kind: 'own', owner: 'hibiscusbeam', workspaces: ['w']};
    const plan = planOf(intentOf(own), base, 'plan-2').unwrap();
    expect(plan.configuration.workspaces['w']).toMatchObject({
      owner: 'older-system',
      open: false,
    });
    expect(plan.owners).toMatchObject([
      {before: 'older-system', after: 'hibiscusbeam'},
    ]);
    const moves = [plan.move!];
    const facts = {...FACTS, moves};
    expect(refusals(base, intentOf(own), facts)).toEqual(['moving']);
    const switchOff = intentOf({kind: 'switch-off'});
    expect(refusals(EMPTY, switchOff, facts)).toEqual([
      'stillOwnedByOlderSystem',
    ]);
  });

  test('does not resolve the name of an inherited property', () => {
    const join = intentOf({kind: 'join', targets: ['constructor']});
    expect(refusals(EMPTY, join)).toEqual(['unknownTarget']);
    const leave = intentOf({kind: 'leave', targets: ['constructor']});
    expect(refusals(EMPTY, leave)).toEqual(['unknownTarget']);
  });
});
