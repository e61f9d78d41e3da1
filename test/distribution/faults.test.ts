import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {createMesh} from './mesh';
import {generateVersion} from './versions';

function chunkNames(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, place) => `${prefix}-${place}`);
}

const version = generateVersion('1', chunkNames('chunk', 32));

/** The patience of a node that has learned nothing yet. */
const INITIAL_TAKEOVER_TIMEOUT_MS = 3_000;

describe('swarm', () => {
  test('asks the origin for each chunk once when nothing fails', () => {
    fc.assert(
      fc.property(fc.nat(), fc.integer({min: 1, max: 12}), (seed, nodes) => {
        const mesh = createMesh({nodes, seed, versions: [version]});
        expect(mesh.run()).toBe(true);
        expect(mesh.originRequests().length).toBe(32);
      }),
      propertySettings(15),
    );
  });

  // A rollout stands still for minutes. Order of events: an instance dies or
  // freezes, and the chunks that were its turn at the origin come from no one.
  // Cause: only one instance is to ask for each chunk.
  test('a dead or frozen fetcher costs at most one patience', () => {
    fc.assert(
      fc.property(fc.nat(), fc.boolean(), (seed, frozen) => {
        const mesh = createMesh({nodes: 6, seed, versions: [version]});
        const fault = frozen
          ? ({kind: 'freeze', node: 0, time: Infinity} as const)
          : ({kind: 'kill', node: 0} as const);
        expect(mesh.run([{at: 0, fault}])).toBe(true);
        const last = Math.max(...mesh.originRequests().map(ask => ask.at));
        expect(last).toBeLessThanOrEqual(INITIAL_TAKEOVER_TIMEOUT_MS + 600);
        expect(mesh.originRequests().length).toBeLessThanOrEqual(34);
      }),
      propertySettings(15),
    );
  });

  // A rollout loads the network for nothing. Order of events: an instance's
  // memory is bad, so each of its chunks fails its digest and is asked for
  // again. Cause: it still says that it holds them. It must itself complete:
  // the others stop asking it, but go on telling it what they hold.
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
        expect(mesh.wrongReady).toEqual([]);
        expect(mesh.now()).toBeLessThan(15_000);
        for (let by = 1; by < 6; by += 1) {
          const bad = mesh.served.filter(
            upload => upload.by === by && upload.from === 'agent-0',
          );
          expect(bad.length).toBeLessThanOrEqual(2);
        }
      }),
      propertySettings(15),
    );
  });

  // After an outage of the origin its link is blocked for minutes. Order of
  // events: the origin fails, every instance's patience runs out, the origin
  // comes back and all ask it for the same chunks. Cause: the time of the
  // outage counted as the fetchers' fault.
  test('an outage of the origin does not make all ask for the same', () => {
    fc.assert(
      fc.property(fc.nat(), fc.integer({min: 10, max: 40}), (seed, at) => {
        const mesh = createMesh({nodes: 8, seed, versions: [version]});
        const outage = {kind: 'originOutage', time: 20_000} as const;
        expect(mesh.run([{at, fault: outage}])).toBe(true);
        const served = mesh
          .originRequests()
          .filter(ask => ask.at < at || ask.at >= at + outage.time);
        expect(served.length).toBeLessThanOrEqual(38);
      }),
      propertySettings(15),
    );
  });

  test('a node that joins late fetches nothing more from the origin', () => {
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

  test('keeps the chunks that a superseding version shares', () => {
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

  test('completes from the swarm alone while the origin is down for ever', () => {
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
        const across = mesh.asks.filter(
          ask =>
            ask.from !== 'origin' &&
            zoneOf.get(ask.from) !== mesh.nodes[ask.by]!.zone,
        );
        expect(across.length / 32).toBeLessThanOrEqual(2.5);
      }),
      propertySettings(5),
    );
  });
});
