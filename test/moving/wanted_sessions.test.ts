import type {Member} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {chooseSessions} from '../../packages/daemon/src/entry/wanted_sessions';
import {propertySettings} from '../fixtures/property_settings';

const LIVENESS = ['joining', 'live', 'suspect', 'dead', 'leaving'] as const;

const membersArbitrary = fc
  .array(
    fc.record({
      role: fc.constantFrom('entry' as const, 'agent' as const),
      liveness: fc.constantFrom(...LIVENESS),
      isListed: fc.boolean(),
    }),
    {maxLength: 12},
  )
  .map(lines =>
    lines.map(({role, liveness, isListed}, index) => {
      const member: Member = {
        instance: `${role}-${index}`,
        role,
        liveness,
        address: `10.0.1.${index}:7400`,
        zone: 'bilbao-hall',
        region: 'norte',
        incarnation: 1,
        since: 0,
      };
      return {member, isListed};
    }),
  );

const chosenOf = (lines: readonly {member: Member; isListed: boolean}[]) =>
  chooseSessions({
    instance: 'entry-own',
    members: lines.map(({member}) => member),
    listed: new Set(
      lines.filter(({isListed}) => isListed).map(({member}) => member.instance),
    ),
  }).map(member => member.instance);

// The failure is described in test/processes/sessions.test.ts.
test('a dead or leaving agent keeps its session while it is listed and displaces no other agent', () => {
  fc.assert(
    fc.property(membersArbitrary, lines => {
      const chosen = chosenOf(lines);
      const isOut = (liveness: Member['liveness']) =>
        liveness === 'dead' || liveness === 'leaving';
      const present = lines.filter(({member}) => !isOut(member.liveness));
      expect(chosen).toEqual(expect.arrayContaining([...chosenOf(present)]));
      for (const {member, isListed} of lines) {
        const {instance, role, liveness} = member;
        if (!isOut(liveness)) continue;
        if (!isListed) expect(chosen).not.toContain(instance);
        // With fewer than six entries each entry holds every target.
        const entries = lines.filter(line => line.member.role === 'entry');
        if (isListed && role === 'agent' && entries.length < 6) {
          expect(chosen).toContain(instance);
        }
      }
    }),
    propertySettings(300),
  );
});
