import type {
  AttemptId,
  Milliseconds,
  MonotonicInstant,
  ServiceName,
  TargetName,
  ZoneName,
} from '../types';
import {hash32} from '../utils/hash';
import {
  INITIAL_FIRST_TOKEN_TIME,
  INITIAL_SERVICE_TIME,
  INITIAL_TOKEN_TIME,
} from './constants';
import type {InFlightHistory} from './in_flight_history';
import {createInFlightHistory} from './in_flight_history';
import type {MovingAverage} from './moving_average';
import {createMovingAverage} from './moving_average';
import type {EjectionCause, ServedVersion} from './types';

/** Health of a target; decides whether it gets requests. */
export type TargetHealth =
  | {readonly kind: 'healthy'}
  | {
      readonly kind: 'ejected';
      readonly cause: EjectionCause;
      readonly until: MonotonicInstant;
    }
  | {
      readonly kind: 'probing';
      readonly cause: EjectionCause;
      readonly passed: number;
    };

/** One dispatched attempt. */
export interface AttemptState {
  readonly attempt: AttemptId;
  readonly target: TargetState;
  readonly dispatchedAt: MonotonicInstant;
  readonly probe: boolean;
  /** Load of the target before this attempt, as estimated at dispatch. */
  readonly loadBefore: number;
  /** Expected time from getting a slot to the first token, at dispatch. */
  readonly expectedPrefill: Milliseconds;
  /** True if the target was ejected and no better one was available. */
  readonly lastResort: boolean;
  firstTokenAt: MonotonicInstant | undefined;
  lastProgressAt: MonotonicInstant;
}

/** What one entry knows about one target. */
export interface TargetState {
  readonly target: TargetName;
  readonly targetHash: number;
  zone: ZoneName;
  service: ServiceName | undefined;
  leaving: boolean;
  loaded: readonly ServedVersion[];
  slots: number;
  cachedPrefixes: ReadonlySet<number>;
  measuredAt: MonotonicInstant;
  othersAtReport: number;
  allOwnAtReport: number;
  ownInFlight: number;
  readonly ownHistory: InFlightHistory;
  /** Attempts without a first token, oldest first. */
  readonly waiting: Map<AttemptId, AttemptState>;
  /** Attempts with a first token. */
  readonly streaming: Map<AttemptId, AttemptState>;
  lastProgressAt: MonotonicInstant;
  lastFirstTokenAt: MonotonicInstant;
  /** Time from dispatch to first token where no wait was expected. */
  readonly firstTokenTime: MovingAverage;
  readonly tokenTime: MovingAverage;
  /** Time from first token to the end. */
  readonly serviceTime: MovingAverage;
  failuresInRow: number;
  ejections: number;
  health: TargetHealth;
}

/** Medians over the healthy targets, which a slow target is compared with. */
export interface PeerMedians {
  firstTokenTime: Milliseconds;
  tokenTime: Milliseconds;
  /** Number of targets with enough samples for the medians. */
  compared: number;
}

/** State of a router. */
export interface RouterState {
  readonly targets: Map<TargetName, TargetState>;
  readonly attempts: Map<AttemptId, AttemptState>;
  readonly history: InFlightHistory;
  readonly medians: PeerMedians;
  /** Time in a slot over all targets; a single target has too few samples. */
  readonly serviceTime: MovingAverage;
  /** Time between first tokens of a target that has several prompts to read. */
  readonly firstTokenGap: MovingAverage;
  /** True once `token` events arrive; before that, silence means nothing. */
  tokensSeen: boolean;
}

/** Creates a router's state without targets. */
export function createRouterState(): RouterState {
  return {
    targets: new Map(),
    attempts: new Map(),
    history: createInFlightHistory(),
    medians: {
      firstTokenTime: INITIAL_FIRST_TOKEN_TIME,
      tokenTime: INITIAL_TOKEN_TIME,
      compared: 0,
    },
    serviceTime: createMovingAverage(INITIAL_SERVICE_TIME),
    firstTokenGap: createMovingAverage(0),
    tokensSeen: false,
  };
}

/** Creates the state of a target that has not reported yet. */
export function createTargetState(
  target: TargetName,
  zone: ZoneName,
): TargetState {
  return {
    target,
    targetHash: hash32(target),
    zone,
    service: undefined,
    leaving: false,
    loaded: [],
    slots: 1,
    cachedPrefixes: new Set(),
    measuredAt: 0,
    othersAtReport: 0,
    allOwnAtReport: 0,
    ownInFlight: 0,
    ownHistory: createInFlightHistory(),
    waiting: new Map(),
    streaming: new Map(),
    lastProgressAt: 0,
    lastFirstTokenAt: 0,
    firstTokenTime: createMovingAverage(INITIAL_FIRST_TOKEN_TIME),
    tokenTime: createMovingAverage(INITIAL_TOKEN_TIME),
    serviceTime: createMovingAverage(INITIAL_SERVICE_TIME),
    failuresInRow: 0,
    ejections: 0,
    health: {kind: 'healthy'},
  };
}
