import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {Member} from '@hibiscusbeam/core';
import {createMetrics, type Metrics} from '../metrics';
import type {Log} from '../logs';
import {every} from '../runtime/clock';
import type {CommonSettings} from '../types/settings';

/** Period at which gauges are sent, in milliseconds. */
const GAUGE_PERIOD = 1_000;

/**
 * Sampling resolution of the event loop delay, in milliseconds. At Node's
 * default of 10 ms the timer alone wakes an idle process 100 times a second.
 */
const LOOP_DELAY_RESOLUTION = 100;

const NANOSECONDS_PER_MILLISECOND = 1e6;

/** One in this many failures to send is logged. */
const FAILURES_PER_LOG_LINE = 100;

/** Creates the metrics of one process. */
export function createProcessMetrics(
  settings: CommonSettings,
  role: 'entry' | 'agent',
  log: Log,
): Metrics {
  const {instance, zone} = settings;
  let failures = 0;
  return createMetrics({
    settings: settings.metrics,
    tags: {role, instance, zone},
    onError: error => {
      failures += 1;
      if (failures % FAILURES_PER_LOG_LINE !== 1) return;
      log.warn('cannot send metrics', {failures, error});
    },
  });
}

/** Gauges that every process sends once a second. */
export interface ProcessGauges {
  readonly generation: () => number;
  readonly members: () => readonly Member[];
  /** Sends the gauges of the process's role. */
  readonly sendRoleGauges: () => void;
}

/** Sends gauges until the returned function is called. */
export function sendGauges(
  metrics: Metrics,
  gauges: ProcessGauges,
): () => void {
  const delay = monitorEventLoopDelay({resolution: LOOP_DELAY_RESOLUTION});
  delay.enable();
  const stop = every(GAUGE_PERIOD, () => {
    const live = gauges.members().filter(({liveness}) => liveness === 'live');
    for (const role of ['entry', 'agent'] as const) {
      const count = live.filter(member => member.role === role).length;
      metrics.gauge('membership.live', {role}, count);
    }
    metrics.gauge('configuration.generation', {}, gauges.generation());
    const maxDelay = delay.max / NANOSECONDS_PER_MILLISECOND;
    metrics.time('process.loop_delay', {}, maxDelay);
    delay.reset();
    gauges.sendRoleGauges();
  });
  return () => {
    delay.disable();
    stop();
  };
}
