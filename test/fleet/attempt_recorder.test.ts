import {createTargetRegistry} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import type {
  RequestRunOptions,
  TakenSlot,
} from '../../packages/fleet/src/entry/request_context';
import {createAttemptRecorder} from '../../packages/fleet/src/entry/attempt_recorder';
import {plainNeed, plainTarget} from '../fixtures/placement';

const accepted = {
  fingerprint: 'content',
  route: {name: 'route'},
} as AcceptedRequest;

const target = (instance: string) => plainTarget(instance, {slots: 100});

/** Two targets, the first of which is in doubt; the clock stands still. */
function startSite() {
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  const [doubted, other] = [target('doubted'), target('other')];
  registry.list([doubted, other], 0);
  const endings: string[] = [];
  const options = {
    registry,
    clock: () => 0,
    metrics: {countLostAttempt: () => undefined},
    crashMonitor: {
      recordLostConnection: () => endings.push('lost'),
      recordEnded: () => endings.push('ended'),
      recordCompleted: () => undefined,
    },
  } as unknown as RequestRunOptions;

  function createRecorder(foundClosed = new AbortController()) {
    const never = new AbortController().signal;
    const place = {target: doubted, lifeEnded: never} as TakenSlot;
    return createAttemptRecorder(options, {accepted, place, foundClosed});
  }

  function isAvoided(): boolean {
    const taken = Array.from({length: 50}, () => {
      const choice = registry.choose(plainNeed({expectedRun: 1}));
      if (choice.kind !== 'chosen') throw new Error('no target has room');
      const sent = {promptTime: 0, onIncarnationEnded: () => undefined};
      registry.begin(choice.target, sent);
      return choice.target.instance;
    });
    return !taken.includes('doubted');
  }

  return {createRecorder, isAvoided, endings};
}

const LOST = {kind: 'unknown', cause: 'connectionLost'} as const;

test('a target is avoided after two silent sends', () => {
  const {createRecorder, isAvoided} = startSite();
  createRecorder().recordSilence();
  createRecorder().recordSilence();
  expect(isAvoided()).toBe(true);
});

test('a target is avoided after one refused connection', () => {
  const {createRecorder, isAvoided} = startSite();
  createRecorder().recordEnd({kind: 'notRun', cause: 'connectionRefused'});
  expect(isAvoided()).toBe(true);
});

test('a send that was silent and then failed counts once', () => {
  const {createRecorder, isAvoided} = startSite();
  const notes = createRecorder();
  notes.recordSilence();
  notes.recordEnd(LOST);
  expect(isAvoided()).toBe(false);
});

test('a silent target that answers in the end is in no doubt', () => {
  const {createRecorder, isAvoided} = startSite();
  const both = [createRecorder(), createRecorder()];
  for (const notes of both) notes.recordSilence();
  both[0]!.recordEnd({kind: 'answered', success: true});
  expect(isAvoided()).toBe(false);
});

test('the deadline of a silent send is no success of its target', () => {
  const {createRecorder, isAvoided} = startSite();
  const both = [createRecorder(), createRecorder()];
  for (const notes of both) notes.recordSilence();
  for (const notes of both) notes.recordEnd({kind: 'timedOut'});
  expect(isAvoided()).toBe(true);
});

test('a target at whose address nothing listens has ended under its request', () => {
  const {createRecorder, endings} = startSite();
  const foundClosed = new AbortController();
  foundClosed.abort();
  createRecorder(foundClosed).recordEnd(LOST);
  createRecorder().recordEnd(LOST);
  expect(endings).toEqual(['ended', 'lost']);
});
