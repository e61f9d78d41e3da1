import {parseIntent} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

describe('parsing an intent', () => {
  test('fills in the documented defaults', () => {
    const intent = parseIntent({
      changes: [
        {kind: 'serve', model: 'm', version: '1', targets: {count: 2}},
        {kind: 'join', targets: ['a']},
      ],
    }).unwrap();
    expect(intent.summary).toBe('serve m 1; join a');
    expect(intent.changes).toMatchObject([
      {capacityFloor: 0, prefer: 'time', targets: {count: 2}},
      {targets: ['a']},
    ]);
  });

  test('lists every fault with the path of its field', () => {
    const result = parseIntent({
      colour: 'red',
      changes: [
        {kind: 'serve', model: '', version: '1', targets: {count: 0}},
        {kind: 'own', owner: 'nobody', targets: ['a', 'a']},
        {kind: 'dance'},
        {kind: 'leave', targets: []},
      ],
    });
    const faults = result.err ? result.val : [];
    const paths = faults.map(fault => fault.path);
    expect(paths).toEqual(
      expect.arrayContaining([
        '',
        'changes[0].model',
        'changes[0].targets.count',
        'changes[1].owner',
        'changes[1].targets',
        'changes[2].kind',
        'changes[3].targets',
      ]),
    );
  });

  test.each([
    [{instances: ['a'], zone: 'z'}],
    [{instances: ['a'], count: 1}],
    [{}],
    [{zone: 'z', where: 'here'}],
  ])('refuses the choice of targets %j', targets => {
    const serve = {kind: 'serve', model: 'm', version: '1', targets};
    expect(parseIntent({changes: [serve]}).err).toBe(true);
  });

  test('answers any input, and never throws', () => {
    fc.assert(
      fc.property(fc.anything(), input => {
        const result = parseIntent(input);
        if (result.err) expect(result.val.length).toBeGreaterThan(0);
      }),
      propertySettings(500),
    );
  });
});
