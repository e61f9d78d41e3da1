import {createQuarantine, type ListedTarget} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {
  createCrashMonitor,
  type AddressState,
} from '../../packages/fleet/src/entry/crash_monitor';
import {errorFreeLog} from '../fixtures/error_free_log';

function target(instance: string, born?: number): ListedTarget {
  return {instance, born, address: '10.0.0.1:80'} as ListedTarget;
}

function attempt(suspect: string, instance: string, born?: number) {
  return {suspects: [suspect], target: target(instance, born), sentAt: 0};
}

function startMonitor(state: AddressState) {
  const quarantine = createQuarantine();
  let probes = 0;
  const monitor = createCrashMonitor({
    quarantine,
    clock: () => 1,
    log: errorFreeLog,
    probe: () => {
      probes += 1;
      return Promise.resolve(state);
    },
    onChange: () => undefined,
  });
  const endings = (): number =>
    quarantine.changedSince(0, 100).rows.flatMap(({endings}) => endings).length;
  return {quarantine, monitor, probes: () => probes, endings};
}

// A rejected probe would end the process.
test('an address that can not be used shows nothing about its target', async () => {
  const monitor = createCrashMonitor({
    quarantine: createQuarantine(),
    clock: () => 1,
    log: errorFreeLog,
    onChange: () => undefined,
  });
  const odd = {...target('odd'), address: '127.0.0.1:99999'};
  expect(await monitor.probe(odd)).toBe('unreachable');
});

test('a target at whose address nothing listens has ended', async () => {
  const {monitor, endings} = startMonitor('closed');
  await monitor.recordLostConnection(attempt('request', 'one'));
  expect(endings()).toBe(1);
});

test('a connection reset by the network does not count as a crash of the target', async () => {
  const {monitor, endings} = startMonitor('listening');
  await monitor.recordLostConnection(attempt('request', 'one'));
  expect(endings()).toBe(0);
});

test('one probe serves all requests that lost their connection to a target', async () => {
  const {monitor, probes, endings} = startMonitor('closed');
  const requests = ['a', 'b', 'c'];
  await Promise.all(
    requests.map(request =>
      monitor.recordLostConnection(attempt(request, 'one')),
    ),
  );
  expect(probes()).toBe(1);
  expect(endings()).toBe(3);
});

test('incarnations under one instance id are distinguished by their start time', () => {
  const {monitor, quarantine} = startMonitor('closed');
  for (const born of [1, 2, 3]) {
    monitor.recordEnded(attempt('request', 'one', born));
  }
  expect(quarantine.isQuarantined('request')).toBe(true);
});

test('a probe of a target is shared by calls that arrive while it runs', async () => {
  const {monitor, probes} = startMonitor('closed');
  const [one] = await Promise.all([
    monitor.probe(target('one')),
    monitor.probe(target('one')),
    monitor.recordLostConnection(attempt('request', 'one')),
  ]);
  expect(one).toBe('closed');
  expect(probes()).toBe(1);
});
