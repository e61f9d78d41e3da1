import {createTargetBook} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {
  createPlaceQueue,
  type PlaceRequest,
} from '../../packages/fleet/src/entry/place_queue';
import {plainNeed, plainTarget} from '../fixtures/placement';

const TARGET = plainTarget('target', {born: 100, slots: 1});

/** A queue on a clock that only `at` moves, so that no wait runs out by itself. */
function createQueue() {
  let now = 0;
  const book = createTargetBook({instance: 'entry', zone: 'north'});
  book.list([TARGET], 0);
  return {
    book,
    queue: createPlaceQueue(book, () => now),
    at: (time: number) => (now = time),
    placeRequest: () => placeRequest(() => now),
  };
}

function placeRequest(clock: () => number): PlaceRequest {
  return {
    need: () => plainNeed({now: clock()}),
    promptTime: 0,
    isResumed: false,
    priority: 0,
    onTimeUntil: 1_000,
    waitUntil: 1_000,
    signal: new AbortController().signal,
  };
}

test('a request for a service whose targets all leave is refused at once', async () => {
  const {book, queue, placeRequest} = createQueue();
  book.noteLeaving(TARGET);
  expect(await queue.take(placeRequest())).toEqual({kind: 'leaving'});
});

test('a request that waits is refused once its last target leaves', async () => {
  const {book, queue, placeRequest} = createQueue();
  expect(await queue.take(placeRequest())).toMatchObject({kind: 'place'});
  const waiting = queue.take(placeRequest());
  expect(queue.waiting()).toBe(1);
  book.noteLeaving(TARGET);
  queue.pump();
  expect(await waiting).toEqual({kind: 'leaving'});
});

test('a request whose targets all back off for longer than it may wait is refused at once', async () => {
  const {book, queue, placeRequest} = createQueue();
  book.noteBackoff(TARGET, 3_000);
  const refused = {kind: 'backingOff', until: 3_000};
  expect(await queue.take(placeRequest())).toEqual(refused);
});

test('a request waits for a target that takes requests again soon', async () => {
  const {book, queue, at, placeRequest} = createQueue();
  book.noteBackoff(TARGET, 500);
  const waiting = queue.take(placeRequest());
  expect(queue.waiting()).toBe(1);
  at(500);
  queue.pump();
  expect(await waiting).toMatchObject({kind: 'place'});
});
