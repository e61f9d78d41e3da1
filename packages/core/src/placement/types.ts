import type {ServiceCapacity} from '../admission/types';
import type {MemoryNeed} from '../memory';
import type {Destinations, EngineProfile} from '../routes';
import type {IncarnationStamp} from './target_incarnation';
import type {
  Milliseconds,
  ModelName,
  MonotonicInstant,
  ServiceName,
  ZoneName,
} from '../types';

/** A model that an engine holds completely. */
export interface HeldModel {
  readonly model: ModelName;
  readonly version: number;
}

/** One incarnation of a target, as the platform lists it. */
export interface ListedTarget extends IncarnationStamp {
  /** Stays the same if the target restarts under the same id. */
  readonly instance: string;
  readonly service: ServiceName;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly slots: number;
  readonly leaving: boolean;
  /** Remaining cold time, as of its last heartbeat. */
  readonly coldFor: Milliseconds;
  /** Undefined for a plain target. */
  readonly held: readonly HeldModel[] | undefined;
}

/** An engine's state as its agent reports it. */
export interface EngineLoad extends IncarnationStamp {
  readonly address: string;
  readonly held: readonly HeldModel[];
  /** Whether it loads weights and starts no requests. */
  readonly ordering: boolean;
  readonly running: number;
  readonly waiting: number;
  /** Factor by which a pass takes longer than in the service's profile. */
  readonly pace: number;
  /** Incremented with each report; the same at all entries that receive it. */
  readonly sequence: number;
  /** Time until it is to load a version; undefined if it isn't. */
  readonly loadsIn: Milliseconds | undefined;
  /** Share of its request memory that is in use; undefined if unknown. */
  readonly memoryShare: number | undefined;
}

/** An entry that sends to the same targets. */
export interface SendingEntry {
  readonly instance: string;
  readonly zone: ZoneName;
}

/** What a request needs from its target. */
export interface PlacementRequest {
  readonly service: ServiceName;
  readonly model: ModelName | undefined;
  /** Oldest version that may start the request; undefined if any may. */
  readonly minVersion: number | undefined;
  /** The same for targets in other zones, which take longer to reach. */
  readonly minFarVersion: number | undefined;
  /** Where the request may be served. */
  readonly destinations: Destinations;
  /** Time in which an idle target reads the request's prompt. */
  readonly promptTime: Milliseconds;
  /** Expected run time, once begun. */
  readonly expectedRun: Milliseconds;
  /** Expected number of tokens at its end; 0 for plain targets. */
  readonly expectedTokens: number;
  /** Memory it needs on an engine; undefined if there is no limit. */
  readonly memory?: MemoryNeed;
  /** Deadline of the first event; undefined if there is none. */
  readonly firstEventDeadline: MonotonicInstant | undefined;
  /** Profile of the service's engines; undefined for plain targets. */
  readonly profile: EngineProfile | undefined;
  /** Instances that the request was already sent to. */
  readonly tried: ReadonlySet<string>;
  readonly now: MonotonicInstant;
}

/** A request that is sent to a target. */
export interface SentRequest {
  /** Time in which the target reads its prompt. */
  readonly promptTime: Milliseconds;
  /** Memory it needs on an engine, and when it is sent. */
  readonly memory?: MemoryNeed;
  readonly at?: MonotonicInstant;
  /** Called if the engine's incarnation ends while the request is in flight. */
  readonly onIncarnationEnded: () => void;
}

/** A request in flight at a target. */
export interface InFlightRequest {
  /** Records the first event: the prompt has been read. */
  readonly begun: () => void;
  readonly end: () => void;
}

/** The targets that an entry may send to. */
export interface TargetRegistry {
  /** Replaces the list. */
  readonly list: (
    targets: readonly ListedTarget[],
    now: MonotonicInstant,
  ) => void;
  /** Replaces the entries that send to the same targets, including this one. */
  readonly setEntries: (entries: readonly SendingEntry[]) => void;
  readonly report: (load: EngineLoad, now: MonotonicInstant) => void;
  /** Records a request that is sent. */
  readonly begin: (target: ListedTarget, sent: SentRequest) => InFlightRequest;
  /**
   * Whether a target starts nothing and waits for its requests in order to
   * load.
   */
  readonly isDrainingForLoad: (
    target: ListedTarget,
    now: MonotonicInstant,
  ) => boolean;
  /**
   * Records that a target denies its identity or the models it is listed with.
   */
  readonly recordMisdirected: (
    target: ListedTarget,
    now: MonotonicInstant,
  ) => void;
  readonly recordFailure: (target: ListedTarget, now: MonotonicInstant) => void;
  /** Whether the target is listed and not leaving. */
  readonly isStaying: (target: ListedTarget) => boolean;
  /**
   * Records that nothing listens at a target's address; it is avoided at once.
   */
  readonly recordRefusedConnection: (
    target: ListedTarget,
    now: MonotonicInstant,
  ) => void;
  readonly recordSuccess: (target: ListedTarget) => void;
  /**
   * Records that a target reports that it leaves; returns whether that is new.
   */
  readonly recordLeaving: (target: ListedTarget) => boolean;
  /** Records that a target accepts no request of this entry before `until`. */
  readonly recordBackoff: (
    target: ListedTarget,
    until: MonotonicInstant,
  ) => void;
  /** Whether a previously chosen target may still start such a request. */
  readonly mayStart: (target: ListedTarget, need: PlacementRequest) => boolean;
  /** Chooses the best target with room, or returns why there is none. */
  readonly choose: (need: PlacementRequest) => TargetSelection;
  /** Time until the first event at a target; undefined for plain targets. */
  readonly forecast: (
    target: ListedTarget,
    need: PlacementRequest,
  ) => Milliseconds | undefined;
  /** Records the ratio of a first event's time to its forecast. */
  readonly recordFirstEvent: (
    target: ListedTarget,
    ratio: number,
    now: MonotonicInstant,
  ) => void;
  /** Returns the capacity of a service's reported engines. */
  readonly capacity: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => ServiceCapacity;
  /** Returns the version that a target holds, as far as is known here. */
  readonly heldVersion: (
    target: ListedTarget,
    model: ModelName,
    now: MonotonicInstant,
  ) => number | undefined;
}

/** The best target for a request, or why there is none. */
export type TargetSelection =
  | {readonly kind: 'chosen'; readonly target: ListedTarget}
  /** There are targets, but all of them are full. */
  | {readonly kind: 'full'}
  | {readonly kind: 'none'}
  /** All targets of the service are leaving. */
  | {readonly kind: 'leaving'}
  /** All remaining targets are in evacuated zones. */
  | {readonly kind: 'evacuated'}
  /** No region is allowed for the request. */
  | {readonly kind: 'nowhere'}
  /** All remaining targets accept no request of this entry before `until`. */
  | {readonly kind: 'backingOff'; readonly until: MonotonicInstant}
  /** The list is too old: targets may have left. */
  | {readonly kind: 'outdated'};
