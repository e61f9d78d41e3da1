import {Counter, Histogram, Registry} from 'prom-client';

/** Upper bounds of the duration histogram, in milliseconds. */
const DURATION_BUCKETS = [25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

/** Upper bounds of the histogram of readings' ages, in milliseconds. */
const AGE_BUCKETS = [250, 500, 1_000, 1_500, 2_000, 2_500, 3_000, 4_000, 5_000];

/** Upper bounds of the histogram of the loop's delays, in milliseconds. */
const DELAY_BUCKETS = [5, 20, 50, 100, 200, 500, 1_000, 2_000];

/** Tables of the store whose readings requests are decided by. */
export type ReadTable = 'configuration' | 'targets';

/** Counters and histograms of a process. */
export interface FleetMetrics {
  readonly countRequest: (route: string, result: string) => void;
  readonly observeDuration: (route: string, milliseconds: number) => void;
  /** Notes how old the reading is that a request is decided by. */
  readonly observeReadingAge: (table: ReadTable, milliseconds: number) => void;
  /** Counts a send whose connection ended before the target's answer did. */
  readonly countLostSend: (route: string) => void;
  /** Counts a silence of a target that has a request. */
  readonly countSilence: (route: string) => void;
  /** Notes how late a periodic timer of this process ran. */
  readonly observeLoopDelay: (milliseconds: number) => void;
  /** Counts an answer in which a target named a limit of its own. */
  readonly countLimitedAnswer: (service: string) => void;
  /** Counts an answer in which a target said that it leaves. */
  readonly countLeavingAnswer: (service: string) => void;
  /** Counts an answer in which a target asked to back off. */
  readonly countBackoffAnswer: (service: string) => void;
  /** Counts a caller or target that was dropped since it read too slowly. */
  readonly countDroppedReader: (kind: string) => void;
  /** All of them as text. */
  readonly text: () => Promise<string>;
  readonly contentType: string;
}

/** Creates the metrics of a process. */
export function createFleetMetrics(): FleetMetrics {
  const registry = new Registry();
  const requests = new Counter({
    name: 'hibiscusbeam_requests_total',
    help: 'Requests of callers, by route and result.',
    labelNames: ['route', 'result'],
    registers: [registry],
  });
  const durations = new Histogram({
    name: 'hibiscusbeam_request_duration_milliseconds',
    help: 'Time from the header of a request to the end of its answer.',
    labelNames: ['route'],
    buckets: DURATION_BUCKETS,
    registers: [registry],
  });
  const readingAges = new Histogram({
    name: 'hibiscusbeam_reading_age_milliseconds',
    help: 'Age of the reading of the store that a request was decided by.',
    labelNames: ['table'],
    buckets: AGE_BUCKETS,
    registers: [registry],
  });
  const lostSends = new Counter({
    name: 'hibiscusbeam_lost_sends_total',
    help: 'Sends whose connection ended before the answer of the target.',
    labelNames: ['route'],
    registers: [registry],
  });
  const silences = new Counter({
    name: 'hibiscusbeam_silences_total',
    help: 'Silences of targets that had a request, by route.',
    labelNames: ['route'],
    registers: [registry],
  });
  const loopDelays = new Histogram({
    name: 'hibiscusbeam_loop_delay_milliseconds',
    help: 'How late the loop of the process ran a timer.',
    buckets: DELAY_BUCKETS,
    registers: [registry],
  });
  const limitedAnswers = new Counter({
    name: 'hibiscusbeam_limited_answers_total',
    help: 'Answers in which a target named a limit of its own, by service.',
    labelNames: ['service'],
    registers: [registry],
  });
  const leavingAnswers = new Counter({
    name: 'hibiscusbeam_leaving_answers_total',
    help: 'Answers in which a target said that it leaves, by service.',
    labelNames: ['service'],
    registers: [registry],
  });
  const backoffAnswers = new Counter({
    name: 'hibiscusbeam_backoff_answers_total',
    help: 'Answers in which a target asked this entry to back off, by service.',
    labelNames: ['service'],
    registers: [registry],
  });
  const droppedReaders = new Counter({
    name: 'hibiscusbeam_dropped_readers_total',
    help: 'Callers and targets that were dropped since they read too slowly.',
    labelNames: ['kind'],
    registers: [registry],
  });
  return {
    countRequest: (route, result) => requests.inc({route, result}),
    observeDuration: (route, milliseconds) =>
      durations.observe({route}, milliseconds),
    observeReadingAge: (table, milliseconds) =>
      readingAges.observe({table}, milliseconds),
    countLostSend: route => lostSends.inc({route}),
    countSilence: route => silences.inc({route}),
    observeLoopDelay: milliseconds => loopDelays.observe(milliseconds),
    countLimitedAnswer: service => limitedAnswers.inc({service}),
    countLeavingAnswer: service => leavingAnswers.inc({service}),
    countBackoffAnswer: service => backoffAnswers.inc({service}),
    countDroppedReader: kind => droppedReaders.inc({kind}),
    text: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
