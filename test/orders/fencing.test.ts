import {
  createLease,
  type FencingSupport,
  type Incarnation,
  type Lease,
  type VersionDigest,
  type WantedState,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {createSteppedTable, type SteppedTable} from '../fixtures/stepped_table';
import {runFlow} from '../lease/lease_flow';
import {createFakeEngine, manifestOf, type FakeEngine} from './fake_engine';
import {createSteppedAgent, type SteppedAgent} from './stepped_agent';

const DURATION = 1_000;
const MARGIN = 50;
const VERIFIED = new Map([
  ['notes-1', manifestOf('notes', '1')],
  ['notes-2', manifestOf('notes', '2')],
]);

interface Sent {
  readonly incarnation: Incarnation;
  /** The lease's number when the order went out. */
  readonly lease: number | undefined;
}

interface Site {
  readonly table: SteppedTable;
  readonly engine: FakeEngine;
  readonly agents: readonly SteppedAgent[];
  readonly leases: readonly Lease[];
  readonly sent: Sent[];
  readonly accepted: Incarnation[];
  now: number;
}

function serve(fencing: FencingSupport, version: VersionDigest): WantedState {
  const versions = new Map([['notes', version]]);
  return {kind: 'serve', fencing, versions, servedElsewhere: new Set()};
}

function createSite(fencing: FencingSupport): Site {
  const table = createSteppedTable();
  const accepted: Incarnation[] = [];
  const bare = createFakeEngine({
    fencing,
    holds: () => true,
    onEmptied: () => undefined,
    onViolation: () => undefined,
  });
  const engine: FakeEngine = {
    ...bare,
    order: (order, number) => {
      const outcome = bare.order(order, number);
      if (outcome.kind === 'accepted') accepted.push(number);
      return outcome;
    },
  };
  const leases = [1, 2].map(number =>
    createLease({
      key: 'leases/engine-1',
      holder: `agent-${number}`,
      token: `token-${number}`,
      duration: DURATION,
      margin: MARGIN,
    }),
  );
  const agents = leases.map((lease, index) =>
    createSteppedAgent(engine, VERIFIED, {
      fencing: index + 1,
      checkLease: lease.mayAct,
      engineMemory: undefined,
    }),
  );
  // The earlier agent still has an outdated configuration.
  agents.forEach((agent, index) => {
    agent.wanted = serve(fencing, `notes-${index + 1}`);
    agent.permits.add('notes');
  });
  engine.snapshot(0);
  return {table, engine, agents, leases, sent: [], accepted, now: 0};
}

interface Step {
  readonly agent: number;
  readonly kind: 'pass' | 'advance' | 'observe' | 'acquire' | 'renew' | 'loads';
  readonly elapsed: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  agent: fc.nat({max: 1}),
  kind: fc.constantFrom<Step['kind']>(
    'pass',
    'pass',
    'advance',
    'advance',
    'advance',
    'observe',
    'observe',
    'acquire',
    'renew',
    'loads',
  ),
  elapsed: fc.oneof(
    {weight: 6, arbitrary: fc.nat({max: 30})},
    {weight: 1, arbitrary: fc.constant(DURATION)},
  ),
});

const steps = fc.array(step, {minLength: 20, maxLength: 120});

function applyStep(site: Site, next: Step): void {
  site.now += next.elapsed;
  const {now, engine, table} = site;
  const agent = site.agents[next.agent];
  const lease = site.leases[next.agent];
  if (agent === undefined || lease === undefined) throw new Error('no agent');
  switch (next.kind) {
    case 'pass':
      agent.permits.add('notes');
      agent.pass();
      break;
    case 'advance': {
      const before = agent.nextEffect();
      agent.advance(now, 'none', 0);
      const after = agent.nextEffect();
      if (before?.kind === 'readClock' && after?.kind === 'sendOrder') {
        const check = lease.mayAct(now);
        const number = check.kind === 'mayAct' ? check.fencing : undefined;
        site.sent.push({incarnation: next.agent + 1, lease: number});
      }
      break;
    }
    case 'observe':
      agent.observe(0);
      break;
    case 'acquire':
      if (lease.mayAct(now).kind === 'mayAct') break;
      runFlow(table, lease.acquire(), () => now);
      break;
    case 'renew':
      runFlow(table, lease.renew(), () => now);
      break;
    case 'loads':
      engine.finishLoads();
      break;
  }
  engine.snapshot(now);
}

/** Lets the later agent continue alone, without faults. */
function settle(site: Site): void {
  const later = 1;
  for (let round = 0; round < 12; round += 1) {
    for (const kind of ['acquire', 'renew', 'observe', 'pass'] as const) {
      applyStep(site, {
        agent: later,
        kind,
        elapsed: round === 0 ? DURATION : 1,
      });
    }
    for (let count = 0; count < 10; count += 1) {
      applyStep(site, {agent: later, kind: 'advance', elapsed: 1});
    }
    applyStep(site, {agent: later, kind: 'loads', elapsed: 1});
  }
}

describe('an agent that was paused and replaced', () => {
  // A paused agent resumes after it was replaced and sends its orders. Without
  // fencing, the target would return to an old version.
  test('is refused by a target that checks fencing, once the next agent is fenced', () => {
    fc.assert(
      fc.property(steps, taken => {
        const site = createSite('checked');
        const later = site.agents[1];
        for (const next of taken) {
          const fenced = later?.reconciler.isFenced(site.now);
          const before = site.accepted.length;
          applyStep(site, next);
          const since = site.accepted.slice(before);
          if (fenced && since.includes(1)) throw new Error('old order taken');
        }
      }),
      propertySettings(1_000),
    );
  });

  test('gives no more orders once it was refused', () => {
    const site = createSite('checked');
    const [earlier, later] = site.agents;
    const go = (agent: number, kinds: readonly Step['kind'][]): void => {
      for (const kind of kinds) applyStep(site, {agent, kind, elapsed: 1});
    };
    go(0, ['observe', 'pass', 'advance']);
    expect(earlier?.nextEffect()?.kind).toBe('sendOrder');
    go(1, [
      'observe',
      'pass',
      'advance',
      'advance',
      'advance',
      'advance',
      'loads',
    ]);
    go(0, ['advance', 'advance']);
    expect(earlier?.lastRound()).toEqual({kind: 'replaced'});
    expect(earlier?.reconciler.isReplaced()).toBe(true);
    go(0, ['observe', 'pass']);
    expect(earlier?.nextEffect()).toBeUndefined();
    expect(earlier?.reconciler.mayStart('notes-2')).toBe(false);
    go(1, ['observe', 'pass']);
    expect(later?.reconciler.mayStart('notes-2')).toBe(true);
  });

  // The target ignores fencing, and a paused agent resumes with an order that
  // is ready to be sent. Only its own lease can stop it; without that check,
  // versions would come and go.
  test('sends nothing to a target that ignores fencing, once its lease has expired', () => {
    fc.assert(
      fc.property(steps, taken => {
        const site = createSite('ignored');
        for (const next of taken) applyStep(site, next);
        const numbers = site.sent.map(each => each.lease ?? 0);
        expect(numbers).not.toContain(0);
        expect(numbers).toEqual([...numbers].sort((a, b) => a - b));
      }),
      propertySettings(1_000),
    );
  });

  // Remaining case: the order was sent in time and arrived late. The engine
  // then has the wrong version until the next pass reads and corrects it.
  test('has its late last order corrected at a target that ignores fencing', () => {
    fc.assert(
      fc.property(steps, fc.boolean(), (taken, lateOrder) => {
        const site = createSite('ignored');
        for (const next of taken) applyStep(site, next);
        settle(site);
        if (lateOrder) {
          site.engine.order({kind: 'unload', versionDigest: 'notes-2'}, 1);
          site.engine.finishLoads();
        }
        settle(site);
        const loaded = site.engine.loaded().map(each => each.versionDigest);
        expect(loaded).toEqual(['notes-2']);
      }),
      propertySettings(300),
    );
  });
});
