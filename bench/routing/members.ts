import {chooseSubset, hash32} from '@hibiscusbeam/core';
import type {BaselineName} from './baseline_policies';
import {createBaselinePolicy} from './baseline_policies';
import type {SiteSize} from './cases';
import type {FakeEngine} from './fake_engine';
import {createFakeEngine} from './fake_engine';
import type {EntryPolicy, EntryPort} from './entry_policy';
import type {FakeClock} from './fake_clock';
import {createHibiscusbeamPolicy} from './hibiscusbeam_policy';
import type {LoadRequest} from './load';
import {ENGINE, MODEL} from './site_configuration';

/** The policy of all entries of a run. */
export type PolicyName = 'hibiscusbeam' | BaselineName;

/** An engine with its name and zone. */
export interface Target {
  readonly name: string;
  readonly zone: string;
  readonly engine: FakeEngine;
}

/** An entry with its policy and its subset of targets. */
export interface Entry {
  readonly name: string;
  readonly zone: string;
  readonly policy: EntryPolicy;
  readonly held: ReadonlySet<string>;
  alive: boolean;
}

/** How long a caller uses the same entry. */
const ENTRY_REUSE_MS = 30_000;

/** Assigns zones to processes in turn. */
export function zoneOf(position: number, size: SiteSize): string {
  return `zone-${position % size.zones}`;
}

/** The hibiscusbeam policy has a bounded subset, the baselines all targets. */
export function heldTargets(
  policyName: PolicyName,
  entry: string,
  size: SiteSize,
): readonly string[] {
  const targets = Array.from({length: size.engines}, (_, position) => ({
    target: `engine-${position}`,
    zone: zoneOf(position, size),
    serves: [MODEL],
  }));
  if (policyName !== 'hibiscusbeam') return targets.map(held => held.target);
  const entries = Array.from({length: size.entries}, (_, position) => ({
    instance: `entry-${position}`,
    zone: zoneOf(position, size),
  }));
  return chooseSubset({entry, entries, targets});
}

/** Creates idle engines. */
export function createTargets(
  clock: FakeClock,
  size: SiteSize,
): readonly Target[] {
  return Array.from({length: size.engines}, (_, position) => ({
    name: `engine-${position}`,
    zone: zoneOf(position, size),
    engine: createFakeEngine(clock, ENGINE),
  }));
}

/** Creates entries that all have the same policy. */
export function createEntries(
  policyName: PolicyName,
  size: SiteSize,
  createPort: (entry: string, zone: string) => EntryPort,
): readonly Entry[] {
  return Array.from({length: size.entries}, (_, position) => {
    const name = `entry-${position}`;
    const zone = zoneOf(position, size);
    const port = createPort(name, zone);
    const policy =
      policyName === 'hibiscusbeam'
        ? createHibiscusbeamPolicy(port)
        : createBaselinePolicy(policyName, port);
    return {name, zone, policy, held: new Set(port.targets), alive: true};
  });
}

/** Callers reuse an entry for a while and replace one that is gone. */
export function chooseEntry(
  request: LoadRequest,
  entries: readonly Entry[],
): Entry {
  const period = Math.floor(
    (request.arriveAt + request.caller * 150) / ENTRY_REUSE_MS,
  );
  const alive = entries.filter(entry => entry.alive);
  return alive[hash32(`${request.caller}/${period}`) % alive.length]!;
}
