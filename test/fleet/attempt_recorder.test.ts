import {createTargetRegistry} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import type {
  RequestRunOptions,
  TakenSlot,
} from '../../packages/fleet/src/entry/request_context';
import type {SuspectedAttempt} from '../../packages/fleet/src/entry/crash_monitor';
import {createAttemptRecorder} from '../../packages/fleet/src/entry/attempt_recorder';
import {plainRequest, plainTarget} from '../fixtures/placement';

const accepted = {
  fingerprint: 'content',
  promptParts: ['part'] as readonly string[],
  route: {name: 'route'},
} as AcceptedRequest;

const target = (instance: string) => plainTarget(instance, {slots: 100});

/** Lists two targets. All attempts go to the first. */
function startSite() {
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  const [doubted, other] = [target('doubted'), target('other')];
  registry.list([doubted, other], 0);
  const endings: string[] = [];
  const suspects: (readonly string[])[] = [];
  const answered: (readonly string[])[] = [];
  let now = 0;
  const options = {
    registry,
    clock: () => now,
    metrics: {countLostAttempt: () => undefined},
    crashMonitor: {
      recordLostConnection: (attempt: SuspectedAttempt) => {
        endings.push('lost');
        suspects.push(attempt.suspects);
      },
      recordEnded: () => endings.push('ended'),
      recordAnswered: (cleared: readonly string[]) => answered.push(cleared),
    },
  } as unknown as RequestRunOptions;

  function send(foundClosed = new AbortController()) {
    const never = new AbortController().signal;
    const place = {target: doubted, incarnationEnded: never} as TakenSlot;
    const attempt = {accepted, place, sentAt: 0, foundClosed};
    return createAttemptRecorder(options, attempt);
  }

  function isAvoided(): boolean {
    const taken = Array.from({length: 50}, () => {
      const choice = registry.choose(plainRequest({expectedRun: 1}));
      if (choice.kind !== 'chosen') throw new Error('no target has room');
      const sent = {promptTime: 0, onIncarnationEnded: () => undefined};
      registry.begin(choice.target, sent);
      return choice.target.instance;
    });
    return !taken.includes('doubted');
  }

  const pass = (time: number): number => (now += time);
  return {send, isAvoided, endings, suspects, answered, pass};
}

const LOST = {kind: 'unknown', cause: 'connectionLost'} as const;

test('a target is avoided after two silent attempts', () => {
  const {send, isAvoided} = startSite();
  send().recordSilence();
  send().recordSilence();
  expect(isAvoided()).toBe(true);
});

test('a target is avoided after one refused connection', () => {
  const {send, isAvoided} = startSite();
  send().recordEnd({kind: 'notRun', cause: 'connectionRefused'});
  expect(isAvoided()).toBe(true);
});

test('an attempt that was silent and then failed counts once', () => {
  const {send, isAvoided} = startSite();
  const recorder = send();
  recorder.recordSilence();
  recorder.recordEnd(LOST);
  expect(isAvoided()).toBe(false);
});

test('a silent target that answers in the end is not avoided', () => {
  const {send, isAvoided} = startSite();
  const both = [send(), send()];
  for (const recorder of both) recorder.recordSilence();
  both[0]!.recordEnd({kind: 'answered', success: true});
  expect(isAvoided()).toBe(false);
});

test('a silent attempt that reaches its deadline does not count as a success of its target', () => {
  const {send, isAvoided} = startSite();
  const both = [send(), send()];
  for (const recorder of both) recorder.recordSilence();
  for (const recorder of both) recorder.recordEnd({kind: 'timedOut'});
  expect(isAvoided()).toBe(true);
});

test('a lost connection counts as the end of its target if nothing listens at the address', () => {
  const {send, endings} = startSite();
  const foundClosed = new AbortController();
  foundClosed.abort();
  send(foundClosed).recordEnd(LOST);
  send().recordEnd(LOST);
  expect(endings).toEqual(['ended', 'lost']);
});

/** Longer than targets run after the first event of an answer they crash on. */
const LONG = 1_000;

test('all parts of a prompt are suspects until their target has survived the first event', () => {
  const {send, suspects, pass} = startSite();
  const recorder = send();
  recorder.recordEvent();
  pass(10);
  recorder.recordEnd(LOST);
  expect(suspects).toEqual([['content', 'part']]);
});

test('only the request is a suspect once its target has survived the first event', () => {
  const {send, suspects, answered, pass} = startSite();
  const recorder = send();
  recorder.recordEvent();
  pass(LONG);
  recorder.recordEvent();
  recorder.recordEnd(LOST);
  expect(answered).toEqual([['part']]);
  expect(suspects).toEqual([['content']]);
});

test('a failure that a target answers clears no part of the prompt', () => {
  const {send, answered} = startSite();
  send().recordEnd({kind: 'answered', success: false});
  send().recordEnd({kind: 'answered', success: true});
  expect(answered).toEqual([['content'], ['content', 'part']]);
});
