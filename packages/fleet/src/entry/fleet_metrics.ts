import type {ColdTarget, EvacuatedZone} from '@hibiscusbeam/core';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds of the request duration histogram. */
const DURATION_BUCKETS_MS = [25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

/** Upper bounds of the histogram of reading ages. */
const READING_AGE_BUCKETS_MS = [
  250, 500, 1_000, 1_500, 2_000, 2_500, 3_000, 4_000, 5_000,
];

/** Upper bounds of the histogram of event loop delays. */
const LOOP_DELAY_BUCKETS_MS = [5, 20, 50, 100, 200, 500, 1_000, 2_000];

/** Upper bounds of the histogram of waits for a slot. */
const SLOT_WAIT_BUCKETS_MS = [1, 10, 25, 50, 100, 200, 400, 800, 1_600];

const NO_MEMORY = {arriving: 0, complete: 0};

/** Outcome of a request that needed a slot. */
export interface CountedAdmission {
  readonly service: string;
  readonly priority: number;
  readonly outcome: 'admitted' | 'held' | 'refused';
  /** What it was admitted by, or why it was held or refused. */
  readonly reason: string;
}

/** Upper bounds of the histogram of forecast errors. */
const FORECAST_ERROR_BUCKETS_MS = [
  -200, -100, -50, -20, 0, 20, 50, 100, 200, 400, 800,
];

/** Tables of the store whose readings decide about requests. */
export type ReadTable = 'configuration' | 'targets';

/** What callers use of a process. */
export interface CallerUse {
  /** Bytes of their requests, by state. */
  readonly memory: () => Readonly<Record<'arriving' | 'complete', number>>;
  /** Number of their connections. */
  readonly connections: () => number;
}

/** Metrics of a process. */
export interface FleetMetrics {
  readonly countRequest: (route: string, result: string) => void;
  readonly observeDuration: (route: string, milliseconds: number) => void;
  /** Records the age of the reading that a request is decided by. */
  readonly observeReadingAge: (table: ReadTable, milliseconds: number) => void;
  /**
   * Counts an attempt whose connection ended before the target's answer did.
   */
  readonly countLostAttempt: (route: string) => void;
  /** Counts a silence of a target that runs a request. */
  readonly countSilence: (route: string) => void;
  /** Records how late a periodic timer of this process ran. */
  readonly observeLoopDelay: (milliseconds: number) => void;
  /** Records how much later than forecast a first event arrived. */
  readonly observeForecastError: (
    service: string,
    milliseconds: number,
  ) => void;
  /** Counts an answer in which a target set a rate limit. */
  readonly countLimitedAnswer: (service: string) => void;
  /** Counts an answer in which a target reported that it is leaving. */
  readonly countLeavingAnswer: (service: string) => void;
  /** Counts an answer in which a target requested a backoff. */
  readonly countBackoffAnswer: (service: string) => void;
  /** Replaces the set of evacuated zones. */
  readonly setEvacuatedZones: (zones: readonly EvacuatedZone[]) => void;
  /** Replaces the set of cold targets. */
  readonly setColdTargets: (targets: readonly ColdTarget[]) => void;
  /** Counts a decision of admission by level, or a wait for a slot. */
  readonly countAdmission: (admission: CountedAdmission) => void;
  /** Sets the admitted share of a priority. */
  readonly setAdmissionShare: (
    service: string,
    priority: number,
    share: number,
  ) => void;
  /** Records how long an admitted request has waited for a slot. */
  readonly observeSlotWait: (service: string, milliseconds: number) => void;
  /** Counts a caller or target that was dropped because it read too slowly. */
  readonly countDroppedReader: (kind: string) => void;
  /** Counts a request that was refused before it had arrived. */
  readonly countRefusedBody: (reason: string) => void;
  /** Counts a connection of a caller that was closed to keep a limit. */
  readonly countClosedConnection: (reason: string) => void;
  /** Sets where the use of resources by callers is read. */
  readonly observeCallers: (use: CallerUse) => void;
  /** Sets the number of quarantined requests and prompt parts. */
  readonly setQuarantined: (count: number) => void;
  /** All metrics in the text format of Prometheus. */
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
    buckets: DURATION_BUCKETS_MS,
    registers: [registry],
  });
  const readingAges = new Histogram({
    name: 'hibiscusbeam_reading_age_milliseconds',
    help: 'Age of the reading of the store that a request was decided by.',
    labelNames: ['table'],
    buckets: READING_AGE_BUCKETS_MS,
    registers: [registry],
  });
  const lostAttempts = new Counter({
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
    buckets: LOOP_DELAY_BUCKETS_MS,
    registers: [registry],
  });
  const forecastErrors = new Histogram({
    name: 'hibiscusbeam_forecast_error_milliseconds',
    help: 'How much later than forecast the first event of a target came.',
    labelNames: ['service'],
    buckets: FORECAST_ERROR_BUCKETS_MS,
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
  const evacuatedZones = new Gauge({
    name: 'hibiscusbeam_evacuated_zone_revision',
    help: 'Revision of the operator’s row, for each zone that is evacuated.',
    labelNames: ['zone'],
    registers: [registry],
  });
  const coldTargets = new Gauge({
    name: 'hibiscusbeam_cold_targets',
    help: 'Targets that are cold after a start, by service.',
    labelNames: ['service'],
    registers: [registry],
  });
  const admissions = new Counter({
    name: 'hibiscusbeam_admissions_total',
    help: 'Requests admitted, held and refused under a level.',
    labelNames: ['service', 'priority', 'outcome', 'reason'],
    registers: [registry],
  });
  const admissionShares = new Gauge({
    name: 'hibiscusbeam_admission_share',
    help: 'Share of a priority that is admitted.',
    labelNames: ['service', 'priority'],
    registers: [registry],
  });
  const slotWaits = new Histogram({
    name: 'hibiscusbeam_place_wait_milliseconds',
    help: 'Time for which admitted requests waited for a place.',
    labelNames: ['service'],
    buckets: SLOT_WAIT_BUCKETS_MS,
    registers: [registry],
  });
  const droppedReaders = new Counter({
    name: 'hibiscusbeam_dropped_readers_total',
    help: 'Callers and targets that were dropped since they read too slowly.',
    labelNames: ['kind'],
    registers: [registry],
  });
  const refusedBodies = new Counter({
    name: 'hibiscusbeam_refused_bodies_total',
    help: 'Requests that were refused before they had arrived, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  const closedConnections = new Counter({
    name: 'hibiscusbeam_closed_connections_total',
    help: 'Connections of callers that were closed to keep a limit, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  let callers: CallerUse | undefined;
  new Gauge({
    name: 'hibiscusbeam_request_bytes',
    help: 'Memory of the requests of callers, by state.',
    labelNames: ['state'],
    registers: [registry],
    collect() {
      const {arriving, complete} = callers?.memory() ?? NO_MEMORY;
      this.set({state: 'arriving'}, arriving);
      this.set({state: 'complete'}, complete);
    },
  });
  new Gauge({
    name: 'hibiscusbeam_caller_connections',
    help: 'Open connections of callers.',
    registers: [registry],
    collect() {
      this.set(callers?.connections() ?? 0);
    },
  });
  const quarantined = new Gauge({
    name: 'hibiscusbeam_quarantined',
    help: 'Requests and parts of prompts that are sent to no target.',
    registers: [registry],
  });
  return {
    countRequest: (route, result) => requests.inc({route, result}),
    observeDuration: (route, milliseconds) =>
      durations.observe({route}, milliseconds),
    observeReadingAge: (table, milliseconds) =>
      readingAges.observe({table}, milliseconds),
    countLostAttempt: route => lostAttempts.inc({route}),
    countSilence: route => silences.inc({route}),
    observeLoopDelay: milliseconds => loopDelays.observe(milliseconds),
    observeForecastError: (service, milliseconds) =>
      forecastErrors.observe({service}, milliseconds),
    countLimitedAnswer: service => limitedAnswers.inc({service}),
    countLeavingAnswer: service => leavingAnswers.inc({service}),
    countBackoffAnswer: service => backoffAnswers.inc({service}),
    setEvacuatedZones: zones => {
      evacuatedZones.reset();
      for (const {zone, revision} of zones) {
        evacuatedZones.set({zone}, revision);
      }
    },
    setColdTargets: targets => {
      coldTargets.reset();
      for (const {service} of targets) coldTargets.inc({service});
    },
    countAdmission: admission => admissions.inc({...admission}),
    setAdmissionShare: (service, priority, share) =>
      admissionShares.set({service, priority}, share),
    observeSlotWait: (service, milliseconds) =>
      slotWaits.observe({service}, milliseconds),
    countDroppedReader: kind => droppedReaders.inc({kind}),
    countRefusedBody: reason => refusedBodies.inc({reason}),
    countClosedConnection: reason => closedConnections.inc({reason}),
    observeCallers: use => (callers = use),
    setQuarantined: count => quarantined.set(count),
    text: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
