import {
  incarnationKey,
  raiseIncarnation,
  type IncarnationFlow,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {createSteppedTable, tableFault} from '../fixtures/stepped_table';
import {replyTo} from './lease_flow';

const KEY = incarnationKey('engine-1');
const STARTS = 4;

interface Start {
  readonly token: string;
  flow: IncarnationFlow;
  step: ReturnType<IncarnationFlow['next']>;
  raised: number | undefined;
}

function createStart(index: number): Start {
  const token = `start-${index}`;
  const flow = raiseIncarnation(KEY, token);
  return {token, flow, step: flow.next(), raised: undefined};
}

describe('the incarnation of an agent', () => {
  // After a lost reply an agent takes its own write for another's and raises
  // the number again, or two starts share one. Its engine would then refuse its
  // orders.
  test('is raised once by each start and never shared', () => {
    const step = fc.record({
      start: fc.nat({max: STARTS - 1}),
      fault: tableFault,
      land: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const table = createSteppedTable();
        const starts = Array.from({length: STARTS}, (_, i) => createStart(i));
        for (const {start: index, fault, land} of steps) {
          if (land) table.applyLate();
          const start = starts[index];
          if (start === undefined || start.raised !== undefined) continue;
          if (start.step.done === true) {
            if (start.step.value.ok) {
              start.raised = start.step.value.val.incarnation;
              continue;
            }
            start.flow = raiseIncarnation(KEY, start.token);
            start.step = start.flow.next();
            continue;
          }
          const reply = replyTo(table, start.step.value, 0, fault);
          if (reply.kind === 'clock') throw new Error('no clock is read');
          start.step = start.flow.next(reply);
        }
        const values = table
          .history(KEY)
          .map(row => row.value as {incarnation: number; token: string});
        const tokens = values.map(value => value.token);
        expect(new Set(tokens).size).toBe(tokens.length);
        expect(values.map(value => value.incarnation)).toEqual(
          values.map((_, position) => position + 1),
        );
        for (const {token, raised} of starts) {
          if (raised === undefined) continue;
          const own = values.find(value => value.token === token);
          expect(own?.incarnation).toBe(raised);
        }
      }),
      propertySettings(1_000),
    );
  });
});
