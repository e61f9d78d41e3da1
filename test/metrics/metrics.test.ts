import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {
  createMetrics,
  METRICS,
  type MetricsSettings,
} from '@hibiscusbeam/daemon';
import {describe, expect, test} from 'vitest';
import {tableRows} from '../fixtures/markdown';

function createTestMetrics(
  settings: MetricsSettings | undefined,
  errors: Error[] = [],
) {
  return createMetrics({
    settings,
    tags: {role: 'entry', instance: 'bilbao-7', zone: 'bilbao-hall'},
    onError: error => errors.push(error),
  });
}

describe('metrics', () => {
  test('are the ones that docs/metrics.md lists', () => {
    const expected = Object.entries(METRICS).map(([name, definition]) => [
      name,
      definition.kind,
      definition.unit,
      definition.tags.join(', ') || 'none',
      definition.meaning,
    ]);
    const page = readFileSync('docs/metrics.md', 'utf8');
    expect(tableRows(page, 'Name')).toEqual(expected);
  });

  test('reach the receiver with prefix and tags', async () => {
    const receiver = createSocket('udp4').bind(0, '127.0.0.1');
    await once(receiver, 'listening');
    const {port} = receiver.address();
    const datagram = once(receiver, 'message');
    const metrics = createTestMetrics({
      address: {host: '127.0.0.1', port},
      prefix: 'hb.',
    });
    metrics.count('requests.received', {workspace: 'oviedo-counter'}, 2);
    metrics.gauge('requests.waiting', {}, 7);
    await metrics.close();
    const [content] = (await datagram) as [Buffer];
    receiver.close();
    const tags = 'role:entry,instance:bilbao-7,zone:bilbao-hall';
    expect(content.toString().trim().split('\n')).toEqual([
      `hb.requests.received:2|c|#${tags},workspace:oviedo-counter`,
      `hb.requests.waiting:7|g|#${tags}`,
    ]);
  });

  test('are dropped, and close at once, without a receiver', async () => {
    const metrics = createTestMetrics(undefined);
    metrics.count('requests.retried', {});
    await metrics.close();
    await metrics.close();
  });

  // Without an error handler, hot-shots raises a failed send on its socket,
  // where nothing listens. Once the receiver's host goes away or rejects
  // datagrams, every process of the site would end within a second.
  test('that cannot be sent are reported and do not end the process', async () => {
    const errors: Error[] = [];
    // Sending to the broadcast address fails without a special socket option.
    const address = {host: '255.255.255.255', port: 8125};
    const metrics = createTestMetrics({address, prefix: 'hb.'}, errors);
    // Fills several datagrams, each of which is sent as soon as it is full.
    for (let sent = 0; sent < 100; sent += 1) {
      metrics.count('requests.retried', {});
    }
    await metrics.close();
    metrics.count('requests.retried', {});
    expect(errors.length).toBeGreaterThan(1);
  });
});
