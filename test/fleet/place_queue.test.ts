import {
  createTargetBook,
  type ListedTarget,
  type PlaceNeed,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {
  createPlaceQueue,
  type PlaceRequest,
} from '../../packages/fleet/src/entry/place_queue';

const TARGET: ListedTarget = {
  instance: 'target',
  born: 100,
  service: 'plain',
  address: 'target:1',
  zone: 'north',
  slots: 1,
  leaving: false,
  held: undefined,
};

const NEED: PlaceNeed = {
  service: 'plain',
  model: undefined,
  leastVersion: undefined,
  leastFarVersion: undefined,
  expectedRun: 1_000,
  tried: new Set(),
  now: 0,
};

/** A queue on a clock that stands still, so that no wait runs out. */
function createQueue() {
  const book = createTargetBook({instance: 'entry', zone: 'north'});
  book.list([TARGET], 0);
  return {book, queue: createPlaceQueue(book, () => 0)};
}

function placeRequest(): PlaceRequest {
  return {
    need: () => NEED,
    promptTime: 0,
    isResumed: false,
    priority: 0,
    onTimeUntil: 1_000,
    waitUntil: 1_000,
    signal: new AbortController().signal,
  };
}

test('a request for a service whose targets all leave is refused at once', async () => {
  const {book, queue} = createQueue();
  book.noteLeaving(TARGET);
  expect(await queue.take(placeRequest())).toEqual({kind: 'leaving'});
});

test('a request that waits is refused once its last target leaves', async () => {
  const {book, queue} = createQueue();
  expect(await queue.take(placeRequest())).toMatchObject({kind: 'place'});
  const waiting = queue.take(placeRequest());
  expect(queue.waiting()).toBe(1);
  book.noteLeaving(TARGET);
  queue.pump();
  expect(await waiting).toEqual({kind: 'leaving'});
});
