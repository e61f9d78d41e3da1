import {createTargetRegistry} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import type {
  RequestRunOptions,
  TakenPlace,
} from '../../packages/fleet/src/entry/request_context';
import {createTargetNotes} from '../../packages/fleet/src/entry/target_notes';
import {plainNeed, plainTarget} from '../fixtures/placement';

const accepted = {
  fingerprint: 'content',
  route: {name: 'route'},
} as AcceptedRequest;

const target = (instance: string) => plainTarget(instance, {slots: 100});

/** Two targets, the first of which is in doubt; the clock stands still. */
function startSite() {
  const book = createTargetRegistry({instance: 'entry', zone: 'north'});
  const [doubted, other] = [target('doubted'), target('other')];
  book.list([doubted, other], 0);
  const endings: string[] = [];
  const options = {
    book,
    clock: () => 0,
    metrics: {countLostSend: () => undefined},
    crashWatch: {
      noteLost: () => endings.push('lost'),
      noteEnded: () => endings.push('ended'),
      noteCompleted: () => undefined,
    },
  } as unknown as RequestRunOptions;

  function send(foundClosed = new AbortController()) {
    const never = new AbortController().signal;
    const place = {target: doubted, lifeEnded: never} as TakenPlace;
    return createTargetNotes(options, {accepted, place, foundClosed});
  }

  function isAvoided(): boolean {
    const taken = Array.from({length: 50}, () => {
      const choice = book.choose(plainNeed({expectedRun: 1}));
      if (choice.kind !== 'chosen') throw new Error('no target has room');
      const sent = {promptTime: 0, onIncarnationEnded: () => undefined};
      book.begin(choice.target, sent);
      return choice.target.instance;
    });
    return !taken.includes('doubted');
  }

  return {send, isAvoided, endings};
}

const LOST = {kind: 'unknown', cause: 'connectionLost'} as const;

test('a target is avoided after two silent sends', () => {
  const {send, isAvoided} = startSite();
  send().noteSilence();
  send().noteSilence();
  expect(isAvoided()).toBe(true);
});

test('a target is avoided after one refused connection', () => {
  const {send, isAvoided} = startSite();
  send().noteEnd({kind: 'notRun', cause: 'connectionRefused'});
  expect(isAvoided()).toBe(true);
});

test('a send that was silent and then failed counts once', () => {
  const {send, isAvoided} = startSite();
  const notes = send();
  notes.noteSilence();
  notes.noteEnd(LOST);
  expect(isAvoided()).toBe(false);
});

test('a silent target that answers in the end is in no doubt', () => {
  const {send, isAvoided} = startSite();
  const both = [send(), send()];
  for (const notes of both) notes.noteSilence();
  both[0]!.noteEnd({kind: 'answered', success: true});
  expect(isAvoided()).toBe(false);
});

test('the deadline of a silent send is no success of its target', () => {
  const {send, isAvoided} = startSite();
  const both = [send(), send()];
  for (const notes of both) notes.noteSilence();
  for (const notes of both) notes.noteEnd({kind: 'timedOut'});
  expect(isAvoided()).toBe(true);
});

test('a target at whose address nothing listens has ended under its request', () => {
  const {send, endings} = startSite();
  const foundClosed = new AbortController();
  foundClosed.abort();
  send(foundClosed).noteEnd(LOST);
  send().noteEnd(LOST);
  expect(endings).toEqual(['ended', 'lost']);
});
