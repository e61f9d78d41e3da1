import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {createMesh} from './mesh';
import {generateVersion} from './versions';

function chunkNames(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

const version = generateVersion('1', chunkNames('chunk', 32));

/** Takeover timeout of a node without measurements. */
const INITIAL_TAKEOVER_TIMEOUT_MS = 3_000;

describe('swarm', () => {
  test('requests each chunk from the origin only once if nothing fails', () => {
    fc.assert(
      fc.property(fc.nat(), fc.integer({min: 1, max: 12}), (seed, nodes) => {
        const mesh = createMesh({nodes, seed, versions: [version]});
        expect(mesh.run()).toBe(true);
        expect(mesh.originRequests().length).toBe(32);
      }),
      propertySettings(15),
    );
  });

  // Only one instance is to request each chunk from the origin. If it dies or
  // freezes, its chunks arrive from nowhere and the rollout stalls for minutes.
  test('a dead or frozen fetcher costs at most one takeover timeout', () => {
    fc.assert(
      fc.property(fc.nat(), fc.boolean(), (seed, frozen) => {
        const mesh = createMesh({nodes: 6, seed, versions: [version]});
        const fault = frozen
          ? ({kind: 'freeze', node: 0, time: Infinity} as const)
          : ({kind: 'kill', node: 0} as const);
        expect(mesh.run([{at: 0, fault}])).toBe(true);
        const last = Math.max(
          ...mesh.originRequests().map(request => request.at),
        );
        expect(last).toBeLessThanOrEqual(INITIAL_TAKEOVER_TIMEOUT_MS + 600);
        expect(mesh.originRequests().length).toBeLessThanOrEqual(34);
      }),
      propertySettings(15),
    );
  });

  // An instance with faulty memory announces chunks that fail their digest, so
  // they are requested from it again and again. Once cut off it must still
  // complete itself: the others stop requesting chunks from it but keep
  // announcing theirs to it.
  test('a sender of bad chunks is cut off after two', () => {
    fc.assert(
      fc.property(fc.nat(), seed => {
        const mesh = createMesh({
          nodes: 6,
          seed,
          versions: [version],
          badSenders: [0],
        });
        expect(mesh.run()).toBe(true);
        expect(mesh.readyViolations).toEqual([]);
        expect(mesh.now()).toBeLessThan(15_000);
        for (let by = 1; by < 6; by += 1) {
          const bad = mesh.servedUploads.filter(
            upload => upload.by === by && upload.from === 'agent-0',
          );
          expect(bad.length).toBeLessThanOrEqual(2);
        }
      }),
      propertySettings(15),
    );
  });

  // The takeover timeouts of all instances expire during an origin outage. If
  // that time counted against the fetchers, all instances would request the
  // same chunks afterwards and block the origin's link for minutes.
  test('an origin outage does not make all nodes request the same chunks', () => {
    fc.assert(
      fc.property(fc.nat(), fc.integer({min: 10, max: 40}), (seed, at) => {
        const mesh = createMesh({nodes: 8, seed, versions: [version]});
        const outage = {kind: 'originOutage', time: 20_000} as const;
        expect(mesh.run([{at, fault: outage}])).toBe(true);
        const served = mesh
          .originRequests()
          .filter(request => request.at < at || request.at >= at + outage.time);
        expect(served.length).toBeLessThanOrEqual(38);
      }),
      propertySettings(15),
    );
  });

  test('a node that joins late fetches nothing from the origin', () => {
    fc.assert(
      fc.property(fc.nat(), seed => {
        const mesh = createMesh({nodes: 6, seed, versions: [version]});
        const restart = {kind: 'restartAgent', node: 2} as const;
        const wipe = {kind: 'restartEngine', node: 2} as const;
        const faults = [
          {at: 5_000, fault: wipe},
          {at: 5_001, fault: restart},
        ];
        expect(mesh.run(faults)).toBe(true);
        expect(mesh.originRequests().length).toBe(32);
      }),
      propertySettings(15),
    );
  });

  test('keeps the chunks that it shares with a superseding version', () => {
    const next = generateVersion('2', [
      ...chunkNames('chunk', 24),
      ...chunkNames('new', 8),
    ]);
    fc.assert(
      fc.property(fc.nat(), seed => {
        const mesh = createMesh({nodes: 6, seed, versions: [version, next]});
        const fault = {kind: 'supersede'} as const;
        expect(mesh.run([{at: 10_000, fault}])).toBe(true);
        expect(mesh.originRequests().length).toBe(40);
      }),
      propertySettings(15),
    );
  });

  test('completes from the swarm alone while the origin stays down', () => {
    fc.assert(
      fc.property(fc.nat(), seed => {
        const mesh = createMesh({nodes: 6, seed, versions: [version]});
        for (const {digest} of version.manifest.chunks) {
          const holder = seed % 6;
          mesh.nodes[holder]!.store.set(digest, digest);
        }
        const outage = {kind: 'originOutage', time: Infinity} as const;
        expect(mesh.run([{at: 0, fault: outage}])).toBe(true);
      }),
      propertySettings(15),
    );
  });

  test('few members of a zone copy a chunk in from another zone', () => {
    fc.assert(
      fc.property(fc.nat(), seed => {
        const mesh = createMesh({nodes: 24, seed, versions: [version]});
        expect(mesh.run()).toBe(true);
        const zoneOf = new Map(
          mesh.nodes.map(({instance, zone}) => [instance, zone]),
        );
        const across = mesh.chunkRequests.filter(
          request =>
            request.from !== 'origin' &&
            zoneOf.get(request.from) !== mesh.nodes[request.by]!.zone,
        );
        expect(across.length / 32).toBeLessThanOrEqual(2.5);
      }),
      propertySettings(5),
    );
  });
});
