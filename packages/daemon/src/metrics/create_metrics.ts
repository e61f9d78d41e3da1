import {isIPv6} from 'node:net';
import {StatsD} from 'hot-shots';
import type {MetricsSettings} from '../types/settings';
import type {MetricNameOf, MetricTags} from './metric_definitions';

/**
 * Sends metrics. No call waits or throws, and failures never end the process.
 */
export interface Metrics {
  readonly count: <Name extends MetricNameOf<'counter'>>(
    name: Name,
    tags: MetricTags<Name>,
    amount?: number,
  ) => void;
  readonly gauge: <Name extends MetricNameOf<'gauge'>>(
    name: Name,
    tags: MetricTags<Name>,
    value: number,
  ) => void;
  readonly time: <Name extends MetricNameOf<'timing'>>(
    name: Name,
    tags: MetricTags<Name>,
    milliseconds: number,
  ) => void;
  /** Sends what is buffered, then closes the socket. */
  readonly close: () => Promise<void>;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** No metrics are sent if undefined. */
  readonly settings: MetricsSettings | undefined;
  /** Added to every metric. */
  readonly tags: {
    readonly role: string;
    readonly instance: string;
    readonly zone: string;
  };
  /** Called when sending fails. */
  readonly onError: (error: Error) => void;
}

// Below the payload of an Ethernet frame, so that no datagram is fragmented.
const MAX_DATAGRAM_BYTES = 1_400;
const FLUSH_INTERVAL_MILLISECONDS = 1_000;

const NO_METRICS: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  time: () => undefined,
  close: () => Promise.resolve(),
};

/**
 * Creates a client of the metrics receiver; without settings it sends nothing.
 */
export function createMetrics(options: MetricsOptions): Metrics {
  if (options.settings === undefined) return NO_METRICS;
  const client = openClient(options, options.settings);
  let closed = false;
  return {
    count: (name, tags, amount = 1) => {
      if (!closed) client.increment(name, amount, {...tags});
    },
    gauge: (name, tags, value) => {
      if (!closed) client.gauge(name, value, {...tags});
    },
    time: (name, tags, milliseconds) => {
      if (!closed) client.timing(name, milliseconds, {...tags});
    },
    close: () => {
      if (closed) return Promise.resolve();
      closed = true;
      return closeClient(client, options.onError);
    },
  };
}

function closeClient(
  client: StatsD,
  onError: MetricsOptions['onError'],
): Promise<void> {
  return new Promise(resolve =>
    client.close(error => {
      if (error) onError(error);
      resolve();
    }),
  );
}

function openClient(
  options: MetricsOptions,
  {address, prefix}: MetricsSettings,
): StatsD {
  const family = isIPv6(address.host) ? 6 : 4;
  return new StatsD({
    host: address.host,
    port: address.port,
    prefix,
    globalTags: {...options.tags},
    maxBufferSize: MAX_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MILLISECONDS,
    // Without a handler, hot-shots throws from its socket, which would end the
    // process as soon as the receiver's host refuses a datagram.
    errorHandler: options.onError,
    udpSocketOptions: {
      type: family === 6 ? 'udp6' : 'udp4',
      // The host is an IP number, so no name has to be resolved.
      lookup: (host, _options, callback) => callback(null, host, family),
    },
  });
}
