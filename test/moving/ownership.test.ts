import {initialConfiguration, type SiteConfiguration} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ownershipAt} from '../../packages/daemon/src/older_system';
import {digestText} from '../../packages/daemon/src/runtime/digests';
import {propertySettings} from '../fixtures/property_settings';

const NAMES = ['a', 'b', 'c', 'd'];

const ownerArbitrary = fc.constantFrom(
  'older-system' as const,
  'hibiscusbeam' as const,
);

const targetsArbitrary = fc.dictionary(
  fc.constantFrom(...NAMES),
  fc.record({
    kind: fc.constant('modelEngine' as const),
    zone: fc.constant('bilbao-hall'),
    owner: ownerArbitrary,
    fencing: fc.constant('ignored' as const),
    state: fc.constantFrom('joined' as const, 'leaving' as const),
  }),
);

const workspacesArbitrary = fc.dictionary(
  fc.constantFrom(...NAMES),
  fc.record({
    owner: ownerArbitrary,
    open: fc.boolean(),
    priority: fc.constant(1),
    weight: fc.constant(1),
    requestsPerSecond: fc.constant(10),
  }),
);

describe('the ownership reported to the older system', () => {
  // Otherwise both systems would give orders to one target, or the older system
  // would stop serving everything on the day that hibiscusbeam is set up.
  test('excludes items that hibiscusbeam owns or that move, and includes items never configured', () => {
    fc.assert(
      fc.property(
        targetsArbitrary,
        workspacesArbitrary,
        fc.subarray(NAMES),
        (targets, workspaces, owned) => {
          const base = initialConfiguration(digestText);
          const configuration: SiteConfiguration = {
            ...base.configuration,
            targets,
            workspaces,
          };
          const reported = ownershipAt(
            {...base, generation: 7, configuration},
            {
              generation: 3,
              targets: owned,
              workspaces: owned,
              busyTargets: [],
              busyWorkspaces: [],
            },
          );
          expect(reported.generation).toBe(7);
          for (const name of NAMES) {
            const target = targets[name];
            const mayOrder =
              target === undefined
                ? owned.includes(name)
                : target.owner === 'older-system' && target.state === 'joined';
            expect(reported.targets.includes(name)).toBe(mayOrder);
            const workspace = workspaces[name];
            const mayServe =
              workspace === undefined
                ? owned.includes(name)
                : workspace.owner === 'older-system' && workspace.open;
            expect(reported.workspaces.includes(name)).toBe(mayServe);
          }
        },
      ),
      propertySettings(300),
    );
  });
});
