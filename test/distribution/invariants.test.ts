import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {createMesh} from './mesh';
import type {Fault} from './mesh_types';
import {generateVersion} from './versions';

const NODES = 5;
const node = fc.nat({max: NODES - 1});

/** Faults that leave at least one source of every chunk: the origin. */
const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({kind: fc.constant('kill' as const), node}),
  fc.record({
    kind: fc.constant('freeze' as const),
    node,
    time: fc.constantFrom(100, 5_000, Infinity),
  }),
  fc.record({kind: fc.constant('restartAgent' as const), node}),
  fc.record({kind: fc.constant('restartEngine' as const), node}),
  fc.record({kind: fc.constant('cutSession' as const), node, other: node}),
  fc.record({
    kind: fc.constant('originOutage' as const),
    time: fc.constantFrom(200, 8_000),
  }),
  fc.record({kind: fc.constant('supersede' as const)}),
  fc.record({
    kind: fc.constantFrom(
      'corruptNext' as const,
      'crossNext' as const,
      'doubleNext' as const,
      'lateNext' as const,
    ),
  }),
);

const faults = fc.array(fc.record({at: fc.nat({max: 1_000}), fault}), {
  maxLength: 8,
});

function chunkNames(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

const first = generateVersion('1', chunkNames('shared', 16));
const second = generateVersion('2', [
  ...chunkNames('shared', 8),
  ...chunkNames('new', 8),
]);

describe('swarm under any faults', () => {
  // Chunks arrive corrupted, misrouted, duplicated or late while versions
  // change and engines restart. Counting a chunk that the store does not hold
  // would serve a mix of versions or corrupted weights.
  test('no node is ready with partial, mixed or corrupted weights', () => {
    fc.assert(
      fc.property(fc.nat(), faults, (seed, list) => {
        const mesh = createMesh({
          nodes: NODES,
          seed,
          versions: [first, second],
        });
        mesh.run(list);
        expect(mesh.readyViolations).toEqual([]);
      }),
      propertySettings(150),
    );
  });

  // Agents die, freeze, restart and lose sessions while the origin goes down
  // and returns. A chunk that waits for a sender that never sends it would
  // leave a rollout at, for example, 97% forever.
  test('every live node gets the version if the origin answers', () => {
    fc.assert(
      fc.property(fc.nat(), faults, (seed, list) => {
        const mesh = createMesh({
          nodes: NODES,
          seed,
          versions: [first, second],
        });
        expect(mesh.run(list)).toBe(true);
      }),
      propertySettings(150),
    );
  });

  // A second, shorter freeze of a permanently frozen node must not wake it up.
  // That node is lost; the others get the version without it.
  test('a permanently frozen node is not woken by a shorter freeze', () => {
    const mesh = createMesh({nodes: NODES, seed: 0, versions: [first, second]});
    const freeze = {kind: 'freeze', node: 3} as const;
    const isComplete = mesh.run([
      {at: 0, fault: {...freeze, time: Infinity}},
      {at: 9, fault: {...freeze, time: 100}},
    ]);
    expect(isComplete).toBe(true);
    expect(mesh.nodes[3]!.frozenUntil).toBe(Infinity);
  });

  test('a late confirmation from before an engine restart is ignored', () => {
    fc.assert(
      fc.property(fc.nat(), fc.nat({max: 400}), (seed, at) => {
        const mesh = createMesh({nodes: 3, seed, versions: [first]});
        const restart = {kind: 'restartEngine', node: 0} as const;
        expect(mesh.run([{at, fault: restart}])).toBe(true);
        expect(mesh.readyViolations).toEqual([]);
      }),
      propertySettings(100),
    );
  });
});
