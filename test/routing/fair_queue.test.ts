import type {QueueClass} from '@hibiscusbeam/core';
import {createFairQueue} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const anyWeights = fc.array(fc.integer({min: 1, max: 10}), {
  minLength: 2,
  maxLength: 6,
});

function queueClassesOf(weights: readonly number[], priority = 0) {
  return weights.map((weight, position): QueueClass => ({
    workspace: `workspace-${position}`,
    priority,
    weight,
  }));
}

function countByWorkspace(items: readonly (string | undefined)[]) {
  const counts = new Map<string, number>();
  for (const item of items) {
    if (item !== undefined) counts.set(item, (counts.get(item) ?? 0) + 1);
  }
  return counts;
}

describe('a fair queue', () => {
  test('gives each backlogged workspace turns by its weight', () => {
    fc.assert(
      fc.property(anyWeights, fc.integer({min: 1, max: 200}), (weights, n) => {
        const queue = createFairQueue<string>({capacity: 10_000});
        const queueClasses = queueClassesOf(weights);
        for (const queueClass of queueClasses) {
          for (let item = 0; item < n; item += 1) {
            queue.enqueue(queueClass.workspace, queueClass);
          }
        }
        const turns = Array.from({length: n}, queue.dequeue);
        const counts = countByWorkspace(turns);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        for (const {workspace, weight} of queueClasses) {
          const share = (n * weight) / total;
          const count = counts.get(workspace) ?? 0;
          expect(Math.abs(count - share)).toBeLessThanOrEqual(2);
        }
      }),
      propertySettings(300),
    );
  });

  test('gives no extra turns to a workspace that empties and rejoins', () => {
    // A workspace that never has more than one waiting request looks new to the
    // queue each time, and would get every turn while another one waits.
    const queue = createFairQueue<string>();
    const [rejoining, steady] = queueClassesOf([1, 1]);
    for (let item = 0; item < 50; item += 1) {
      queue.enqueue('steady', {...steady!, workspace: 'steady'});
    }
    const turns: (string | undefined)[] = [];
    for (let turn = 0; turn < 40; turn += 1) {
      const isWaiting = queue.backlogs().has('rejoining');
      if (!isWaiting) {
        queue.enqueue('rejoining', {...rejoining!, workspace: 'rejoining'});
      }
      turns.push(queue.dequeue());
    }
    expect(countByWorkspace(turns).get('rejoining')).toBeLessThanOrEqual(21);
  });

  test('serves lower numbers first without starving the others', () => {
    const queue = createFairQueue<string>({capacity: 1_000});
    for (let item = 0; item < 200; item += 1) {
      queue.enqueue('urgent', {workspace: 'a', priority: 0, weight: 5});
      queue.enqueue('patient', {workspace: 'b', priority: 9, weight: 1});
    }
    const counts = countByWorkspace(Array.from({length: 200}, queue.dequeue));
    expect(counts.get('urgent')).toBeGreaterThanOrEqual(180);
    expect(counts.get('patient')).toBeGreaterThanOrEqual(3);
  });

  test('stays within its capacity and neither loses nor duplicates items', () => {
    const anyStep = fc.record({
      kind: fc.constantFrom('enqueue', 'enqueue', 'dequeue', 'drop'),
      workspace: fc.constantFrom('a', 'b', 'c'),
      weight: fc.integer({min: 1, max: 5}),
    });
    fc.assert(
      fc.property(fc.array(anyStep, {maxLength: 100}), steps => {
        const queue = createFairQueue<number>({capacity: 5});
        const inside = new Set<number>();
        const leave = (item: number): void => {
          expect(inside.delete(item)).toBe(true);
        };
        steps.forEach(({kind, workspace, weight}, item) => {
          if (kind === 'enqueue') {
            const queueClass = {workspace, priority: 0, weight};
            const enqueued = queue.enqueue(item, queueClass);
            if (enqueued.kind !== 'full') inside.add(item);
            if (enqueued.kind === 'displaced') leave(enqueued.item);
          }
          if (kind === 'dequeue') {
            const next = queue.peek();
            const taken = queue.dequeue();
            expect(taken).toBe(next);
            if (taken !== undefined) leave(taken);
          }
          if (kind === 'drop') queue.drop(i => i % 3 === 0).forEach(leave);
          expect(queue.size()).toBe(inside.size);
          expect(queue.size()).toBeLessThanOrEqual(5);
        });
      }),
      propertySettings(500),
    );
  });

  test('makes room for a quiet workspace in a queue filled by another one', () => {
    // If one workspace filled every slot, a caller of a quiet workspace would
    // find the queue full although it has sent nothing for an hour.
    const queue = createFairQueue<string>({capacity: 10});
    const flood = {workspace: 'flood', priority: 0, weight: 1};
    for (let item = 0; item < 10; item += 1) queue.enqueue('flood', flood);
    expect(queue.enqueue('flood', flood)).toEqual({kind: 'full'});
    const quiet = {workspace: 'quiet', priority: 0, weight: 1};
    const enqueued = queue.enqueue('quiet', quiet);
    expect(enqueued).toEqual({kind: 'displaced', item: 'flood'});
    expect(queue.turnsAhead({...quiet, workspace: 'other'})).toBe(2);
  });
});
