/** Kind, unit, tags and meaning of a metric. */
export interface MetricDefinition {
  readonly kind: 'counter' | 'gauge' | 'timing';
  readonly unit: string;
  readonly tags: readonly string[];
  readonly meaning: string;
}

/** Every metric that a process may send; must match docs/metrics.md. */
export const METRICS = {
  'requests.received': {
    kind: 'counter',
    unit: 'requests',
    tags: ['workspace'],
    meaning: 'Requests that an entry received from callers.',
  },
  'requests.answered': {
    kind: 'counter',
    unit: 'requests',
    tags: ['workspace'],
    meaning: 'Requests answered completely.',
  },
  'requests.not_run': {
    kind: 'counter',
    unit: 'requests',
    tags: ['workspace', 'reason'],
    meaning: 'Requests that definitely did not run, by reason.',
  },
  'requests.outcome_unknown': {
    kind: 'counter',
    unit: 'requests',
    tags: ['workspace'],
    meaning: 'Requests that may or may not have run.',
  },
  'requests.duration': {
    kind: 'timing',
    unit: 'milliseconds',
    tags: ['outcome'],
    meaning: 'Time from the receipt of a request to its final outcome.',
  },
  'requests.waiting': {
    kind: 'gauge',
    unit: 'requests',
    tags: [],
    meaning: 'Requests waiting for a target at an entry.',
  },
  'requests.retried': {
    kind: 'counter',
    unit: 'attempts',
    tags: [],
    meaning:
      'Attempts to run a repeatable request again after its first attempt.',
  },
  'callers.refused': {
    kind: 'counter',
    unit: 'calls',
    tags: ['reason'],
    meaning:
      'HTTP calls refused before admission: no key, wrong key, too large, too deep, too many.',
  },
  'site.refused': {
    kind: 'counter',
    unit: 'calls',
    tags: ['reason'],
    meaning:
      'Refused calls between processes, for example calls without the key.',
  },
  'claims.in_flight': {
    kind: 'gauge',
    unit: 'claims',
    tags: [],
    meaning: 'Unfinished claims of requests that may not be repeated.',
  },
  'claims.batch_size': {
    kind: 'gauge',
    unit: 'claims',
    tags: [],
    meaning: 'Claims committed in the last transaction.',
  },
  'platform.calls': {
    kind: 'counter',
    unit: 'calls',
    tags: ['operation', 'outcome'],
    meaning: 'Calls to the platform by operation and outcome.',
  },
  'platform.duration': {
    kind: 'timing',
    unit: 'milliseconds',
    tags: ['operation'],
    meaning: 'Duration of a call to the platform.',
  },
  'configuration.generation': {
    kind: 'gauge',
    unit: 'generation',
    tags: [],
    meaning: 'Generation of the configuration in force at this process.',
  },
  'membership.live': {
    kind: 'gauge',
    unit: 'processes',
    tags: ['role'],
    meaning: 'Processes of the site that this process considers live.',
  },
  'transfers.bytes': {
    kind: 'counter',
    unit: 'bytes',
    tags: ['source'],
    meaning: 'Bytes of weights received, from the origin or a peer.',
  },
  'transfers.cut_off': {
    kind: 'counter',
    unit: 'peers',
    tags: [],
    meaning:
      'Peers from which this process no longer fetches because they sent corrupt chunks.',
  },
  'activation.swaps': {
    kind: 'counter',
    unit: 'swaps',
    tags: ['step'],
    meaning:
      'Steps of swaps: a permit acquired, or the target counted as serving again.',
  },
  'target.orders': {
    kind: 'counter',
    unit: 'orders',
    tags: ['outcome'],
    meaning: 'Orders sent to the target, by outcome.',
  },
  'target.running': {
    kind: 'gauge',
    unit: 'requests',
    tags: [],
    meaning: 'Requests running in the target, as it last reported.',
  },
  'target.queued': {
    kind: 'gauge',
    unit: 'requests',
    tags: [],
    meaning: 'Requests queued in the target, as it last reported.',
  },
  'process.loop_delay': {
    kind: 'timing',
    unit: 'milliseconds',
    tags: [],
    meaning:
      'Maximum event loop delay of the process since the last measurement.',
  },
} as const satisfies {readonly [name: string]: MetricDefinition};

type Metrics = typeof METRICS;

/** Names of the metrics of one kind. */
export type MetricNameOf<Kind extends MetricDefinition['kind']> = {
  [Name in keyof Metrics]: Metrics[Name]['kind'] extends Kind ? Name : never;
}[keyof Metrics];

/** Tags of one metric; all are required. */
export type MetricTags<Name extends keyof Metrics> = {
  readonly [Tag in Metrics[Name]['tags'][number]]: string;
};
