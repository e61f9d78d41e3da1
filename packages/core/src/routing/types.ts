import type {
  AttemptId,
  Milliseconds,
  ModelName,
  MonotonicInstant,
  ServiceName,
  TargetName,
  VersionDigest,
  ZoneName,
} from '../types';

/** What a request needs from a target. */
export type RoutedWork =
  | {
      readonly kind: 'model';
      readonly model: ModelName;
      /** Undefined if any version that the target serves will do. */
      readonly versionDigest: VersionDigest | undefined;
    }
  | {readonly kind: 'service'; readonly service: ServiceName};

/** A version that an engine reports as complete and loaded. */
export interface ServedVersion {
  readonly model: ModelName;
  readonly versionDigest: VersionDigest;
}

/** A target's own report, which is late by `age`. */
export interface LoadReport {
  readonly target: TargetName;
  readonly zone: ZoneName;
  /** Undefined for a model engine. */
  readonly service: ServiceName | undefined;
  readonly leaving: boolean;
  readonly loaded: readonly ServedVersion[];
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /** Time since the target measured these figures. */
  readonly age: Milliseconds;
  /** Prefix hashes that the target's cache probably holds. */
  readonly cachedPrefixes: readonly number[];
}

/** Input of the router. `now` is when the entry observed it. */
export type RoutingEvent = {readonly now: MonotonicInstant} & (
  | {
      readonly kind: 'dispatched';
      readonly attempt: AttemptId;
      readonly target: TargetName;
    }
  | {readonly kind: 'firstToken'; readonly attempt: AttemptId}
  | {
      readonly kind: 'token';
      readonly attempt: AttemptId;
      /** Tokens since this attempt's previous event. */
      readonly tokens: number;
    }
  | {readonly kind: 'finished'; readonly attempt: AttemptId}
  /** Refused by the target before it started, or withdrawn by the caller. */
  | {readonly kind: 'refused'; readonly attempt: AttemptId}
  | {readonly kind: 'failed'; readonly attempt: AttemptId}
  | {readonly kind: 'reportReceived'; readonly report: LoadReport}
  | {readonly kind: 'targetGone'; readonly target: TargetName}
);

/** A request for a target. */
export interface TargetRequest {
  readonly work: RoutedWork;
  /** From `promptPrefix`; any constant for a plain service. */
  readonly prefix: number;
  /** The entry's own zone. */
  readonly zone: ZoneName;
  readonly now: MonotonicInstant;
  /** Targets that were already tried. */
  readonly exclude: readonly TargetName[];
}

/** The chosen target and what to expect of it. */
export interface TargetChoice {
  readonly target: TargetName;
  /** Expected wait for a slot at the target. */
  readonly expectedWait: Milliseconds;
  /** Load including this request, as a share of the target's slots. */
  readonly expectedLoad: number;
  /** Expected time from dispatch to the first token, including the wait. */
  readonly expectedFirstToken: Milliseconds;
  /** Measured time between tokens at this target. */
  readonly expectedTokenTime: Milliseconds;
  /** Expected time between two of this entry's requests ending. */
  readonly turnTime: Milliseconds;
  /**
   * True if slots are free and none of this entry's requests waits for prefill.
   */
  readonly idle: boolean;
  /** True if this request tests whether an ejected target has recovered. */
  readonly probe: boolean;
}

/** No joined target reports that it serves the work. */
export interface NoTargetError {
  readonly kind: 'noTarget';
  /** When to retry. */
  readonly retryAfter: Milliseconds;
}

/** Why a target is ejected. */
export type EjectionCause = 'failures' | 'stalled' | 'slow';

/** An attempt that should be canceled and retried elsewhere. */
export interface StalledAttempt {
  readonly attempt: AttemptId;
  readonly target: TargetName;
  readonly cause: EjectionCause;
}

/** An attempt whose first token is late. */
export interface OverdueAttempt {
  readonly attempt: AttemptId;
  readonly target: TargetName;
}

/** One target as the router sees it, for a dump. */
export interface TargetDump {
  readonly target: TargetName;
  readonly zone: ZoneName;
  readonly leaving: boolean;
  readonly health: 'healthy' | 'ejected' | 'probing';
  readonly cause: EjectionCause | undefined;
  readonly ownInFlight: number;
  readonly estimatedLoad: number;
  readonly slots: number;
  readonly reportAge: Milliseconds;
  readonly firstTokenTime: Milliseconds;
  readonly tokenTime: Milliseconds;
}

/** State of a router, bounded in size. */
export interface RouterDump {
  readonly inFlight: number;
  readonly targetCount: number;
  /** At most `DUMPED_TARGETS` of them. */
  readonly targets: readonly TargetDump[];
}
