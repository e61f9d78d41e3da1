import {createQuarantine, type ListedTarget} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import {expect, test} from 'vitest';
import {
  createCrashMonitor,
  type AddressState,
} from '../../packages/fleet/src/entry/crash_monitor';

const log = {info: () => undefined, warn: () => undefined} as unknown as Log;

function target(instance: string, born?: number): ListedTarget {
  return {instance, born, address: '10.0.0.1:80'} as ListedTarget;
}

function startWatch(state: AddressState) {
  const quarantine = createQuarantine();
  let looks = 0;
  const watch = createCrashMonitor({
    quarantine,
    clock: () => 1,
    log,
    probe: () => {
      looks += 1;
      return Promise.resolve(state);
    },
    onChange: () => undefined,
  });
  const endings = (): number =>
    quarantine.changedSince(0, 100).rows.flatMap(({endings}) => endings).length;
  return {quarantine, watch, looks: () => looks, endings};
}

test('a target at whose address nothing listens has ended', async () => {
  const {watch, endings} = startWatch('closed');
  await watch.recordLostConnection('request', target('one'));
  expect(endings()).toBe(1);
});

test('a connection reset by the network accuses no request', async () => {
  const {watch, endings} = startWatch('listening');
  await watch.recordLostConnection('request', target('one'));
  expect(endings()).toBe(0);
});

test('one look serves all requests that were lost with a target', async () => {
  const {watch, looks, endings} = startWatch('closed');
  const requests = ['a', 'b', 'c'];
  await Promise.all(
    requests.map(request => watch.recordLostConnection(request, target('one'))),
  );
  expect(looks()).toBe(1);
  expect(endings()).toBe(3);
});

test('lives under one id are told apart by their births', () => {
  const {watch, quarantine} = startWatch('closed');
  for (const born of [1, 2, 3]) {
    watch.recordEnded('request', target('one', born));
  }
  expect(quarantine.isQuarantined('request')).toBe(true);
});

test('a look at a target serves those who ask while it runs', async () => {
  const {watch, looks} = startWatch('closed');
  const [one] = await Promise.all([
    watch.probe(target('one')),
    watch.probe(target('one')),
    watch.recordLostConnection('request', target('one')),
  ]);
  expect(one).toBe('closed');
  expect(looks()).toBe(1);
});
