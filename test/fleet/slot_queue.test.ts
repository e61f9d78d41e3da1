import {
  createFairOrder,
  createTargetRegistry,
  type WaitingOrder,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {
  createSlotQueue,
  type SlotRequest,
} from '../../packages/fleet/src/entry/slot_queue';
import {plainRequest, plainTarget} from '../fixtures/placement';

const TARGET = plainTarget('target', {born: 100, slots: 1});

/**
 * A queue with a fake clock that is set by `at`, so that no wait expires by
 * itself.
 */
function createQueue(order?: WaitingOrder<SlotRequest>) {
  let now = 0;
  const book = createTargetRegistry({instance: 'entry', zone: 'north'});
  book.list([TARGET], 0);
  return {
    book,
    queue: createSlotQueue(book, () => now, undefined, order),
    at: (time: number) => (now = time),
    slotRequest: () => slotRequest(() => now),
  };
}

function slotRequest(clock: () => number): SlotRequest {
  return {
    need: () => plainRequest({now: clock()}),
    promptTime: 0,
    isResumed: false,
    priority: 0,
    isLaterAttempt: false,
    workspace: undefined,
    slotTime: 1_000,
    onTimeUntil: 1_000,
    waitUntil: 1_000,
    signal: new AbortController().signal,
  };
}

test('a request for a service whose targets are all leaving is refused at once', async () => {
  const {book, queue, slotRequest} = createQueue();
  book.recordLeaving(TARGET);
  expect(await queue.take(slotRequest())).toEqual({kind: 'leaving'});
});

test('a request that waits is refused once its last target leaves', async () => {
  const {book, queue, slotRequest} = createQueue();
  expect(await queue.take(slotRequest())).toMatchObject({kind: 'place'});
  const waiting = queue.take(slotRequest());
  expect(queue.waiting()).toBe(1);
  book.recordLeaving(TARGET);
  queue.pump();
  expect(await waiting).toEqual({kind: 'leaving'});
});

test('a request whose targets all back off for longer than it may wait is refused at once', async () => {
  const {book, queue, slotRequest} = createQueue();
  book.recordBackoff(TARGET, 3_000);
  const refused = {kind: 'backingOff', until: 3_000};
  expect(await queue.take(slotRequest())).toEqual(refused);
});

test('a request waits for a target that takes requests again soon', async () => {
  const {book, queue, at, slotRequest} = createQueue();
  book.recordBackoff(TARGET, 500);
  const waiting = queue.take(slotRequest());
  expect(queue.waiting()).toBe(1);
  at(500);
  queue.pump();
  expect(await waiting).toMatchObject({kind: 'place'});
});

/** Names of requests in the order in which they get the only slot. */
async function servedInOrder(
  changes: Readonly<Record<string, Partial<SlotRequest>>>,
  checkAt = 0,
): Promise<readonly string[]> {
  const {queue, at, slotRequest} = createQueue(createFairOrder());
  const first = await queue.take({...slotRequest(), workspace: 'busy'});
  const served: string[] = [];
  let release = first.kind === 'place' ? first.inFlight.end : () => undefined;
  for (const [name, change] of Object.entries(changes)) {
    void queue.take({...slotRequest(), ...change}).then(outcome => {
      served.push(name);
      if (outcome.kind === 'place') release = outcome.inFlight.end;
    });
  }
  at(checkAt);
  for (const _ of Object.keys(changes)) {
    release();
    queue.pump();
    await Promise.resolve();
  }
  return served;
}

test('with admission by level, first attempts and other workspaces go first', async () => {
  const served = await servedInOrder({
    lessUrgent: {priority: 1, onTimeUntil: 400},
    later: {isLaterAttempt: true, onTimeUntil: 300},
    busy: {workspace: 'busy', onTimeUntil: 500},
    calm: {workspace: 'calm'},
    sooner: {workspace: 'other', onTimeUntil: 900},
    resumed: {isResumed: true, priority: 9},
  });
  expect(served).toEqual([
    ...['resumed', 'sooner', 'calm', 'busy', 'later', 'lessUrgent'],
  ]);
});

test('a request with a long objective yields to a more urgent one until its own objective is at risk', async () => {
  const requests = {
    long: {priority: 2, onTimeUntil: 700},
    urgent: {priority: 0, onTimeUntil: 900},
  };
  expect(await servedInOrder(requests, 600)).toEqual(['urgent', 'long']);
  expect(await servedInOrder(requests, 690)).toEqual(['long', 'urgent']);
  expect(await servedInOrder(requests, 710)).toEqual(['urgent', 'long']);
});
