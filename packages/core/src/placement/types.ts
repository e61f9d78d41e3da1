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

/** A model that an engine holds whole. */
export interface HeldModel {
  readonly model: ModelName;
  readonly version: number;
}

/** One life of a target, as the platform lists it. */
export interface ListedTarget extends IncarnationStamp {
  /** Stays the same if the target starts again under the id it had. */
  readonly instance: string;
  readonly service: ServiceName;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly slots: number;
  readonly leaving: boolean;
  /** How long it stays cold, by its own word at its last sign of life. */
  readonly coldFor: Milliseconds;
  /** Undefined if the target is no model engine. */
  readonly held: readonly HeldModel[] | undefined;
}

/** What an engine's own agent says of it. */
export interface EngineLoad extends IncarnationStamp {
  readonly address: string;
  readonly held: readonly HeldModel[];
  /** Whether it loads weights and starts nothing new. */
  readonly ordering: boolean;
  readonly running: number;
  readonly waiting: number;
  /** Times a pass takes longer than the service's profile says. */
  readonly pace: number;
  /** Grows with each report; the same at all entries that get it. */
  readonly sequence: number;
  /** Time until it is to load a version; undefined if it is not. */
  readonly loadsIn: Milliseconds | undefined;
  /** Share of its memory for requests that is in use; undefined if unknown. */
  readonly memoryShare: number | undefined;
}

/** One of the entries that send to the same targets. */
export interface SendingEntry {
  readonly instance: string;
  readonly zone: ZoneName;
}

/** What a place must have for a request. */
export interface PlacementRequest {
  readonly service: ServiceName;
  readonly model: ModelName | undefined;
  /** Oldest version that may start it; undefined if any may. */
  readonly minVersion: number | undefined;
  /** The same for targets in other zones, which a request reaches later. */
  readonly minFarVersion: number | undefined;
  /** Where the request may be served. */
  readonly destinations: Destinations;
  /** Time in which an idle target reads the request's prompt. */
  readonly promptTime: Milliseconds;
  /** How long the request will probably run, once begun. */
  readonly expectedRun: Milliseconds;
  /** Tokens that it will probably hold at its end; 0 for plain targets. */
  readonly expectedTokens: number;
  /** What it asks of an engine's memory; undefined where none is named. */
  readonly memory?: MemoryNeed;
  /** Until then a first event is on time; undefined if nothing says so. */
  readonly firstEventDeadline: MonotonicInstant | undefined;
  /** How fast the service's engines work; undefined for plain targets. */
  readonly profile: EngineProfile | undefined;
  /** Instances that have had the request. */
  readonly tried: ReadonlySet<string>;
  readonly now: MonotonicInstant;
}

/** A request that is sent to a target. */
export interface SentRequest {
  /** Time in which the target reads its prompt. */
  readonly promptTime: Milliseconds;
  /** What it asks of an engine's memory, and when it is sent. */
  readonly memory?: MemoryNeed;
  readonly at?: MonotonicInstant;
  /** Called if an engine's life ends with the request in hand. */
  readonly onIncarnationEnded: () => void;
}

/** A request at a target. */
export interface InFlightRequest {
  /** Notes its first event: its prompt has been read. */
  readonly begun: () => void;
  readonly end: () => void;
}

/** What an entry knows of the targets it may send to. */
export interface TargetRegistry {
  /** Replaces the list. */
  readonly list: (
    targets: readonly ListedTarget[],
    now: MonotonicInstant,
  ) => void;
  /** Replaces the entries that send to the same targets, this one included. */
  readonly setEntries: (entries: readonly SendingEntry[]) => void;
  readonly report: (load: EngineLoad, now: MonotonicInstant) => void;
  /** Notes a request sent. */
  readonly begin: (target: ListedTarget, sent: SentRequest) => InFlightRequest;
  /** Whether a target takes nothing new and waits for what runs, to load. */
  readonly isDrainingForLoad: (
    target: ListedTarget,
    now: MonotonicInstant,
  ) => boolean;
  /** Notes that a target denies to be, or to hold, what is believed of it. */
  readonly recordMisdirected: (
    target: ListedTarget,
    now: MonotonicInstant,
  ) => void;
  readonly recordFailure: (target: ListedTarget, now: MonotonicInstant) => void;
  /** Whether the target is listed and has not said that it leaves. */
  readonly isStaying: (target: ListedTarget) => boolean;
  /** Notes that nothing listens at a target's address: it is avoided at once. */
  readonly recordRefusedConnection: (
    target: ListedTarget,
    now: MonotonicInstant,
  ) => void;
  readonly recordSuccess: (target: ListedTarget) => void;
  /** Notes that a target says it leaves; returns whether that is new. */
  readonly recordLeaving: (target: ListedTarget) => boolean;
  /** Notes that a target wants no request of this entry before `until`. */
  readonly recordBackoff: (
    target: ListedTarget,
    until: MonotonicInstant,
  ) => void;
  /** Whether a target, chosen before, may still start such a request. */
  readonly mayStart: (target: ListedTarget, need: PlacementRequest) => boolean;
  /** The best place with room, or why there is none. */
  readonly choose: (need: PlacementRequest) => TargetSelection;
  /** Time until the first event at a target; undefined for plain targets. */
  readonly forecast: (
    target: ListedTarget,
    need: PlacementRequest,
  ) => Milliseconds | undefined;
  /** Notes that a first event took so many times its forecast. */
  readonly recordFirstEvent: (
    target: ListedTarget,
    ratio: number,
    now: MonotonicInstant,
  ) => void;
  /** What the engines of a service that are reported can take. */
  readonly capacity: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => ServiceCapacity;
  /** The version that a target holds, as far as is known here. */
  readonly heldVersion: (
    target: ListedTarget,
    model: ModelName,
    now: MonotonicInstant,
  ) => number | undefined;
}

/** The best place for a request. */
export type TargetSelection =
  | {readonly kind: 'chosen'; readonly target: ListedTarget}
  /** Targets are there, all of them full. */
  | {readonly kind: 'full'}
  | {readonly kind: 'none'}
  /** All targets of the service leave. */
  | {readonly kind: 'leaving'}
  /** All that stay are in zones that are being evacuated. */
  | {readonly kind: 'evacuated'}
  /** No region is allowed for the request. */
  | {readonly kind: 'nowhere'}
  /** All that stay want no request of this entry before `until`. */
  | {readonly kind: 'backingOff'; readonly until: MonotonicInstant}
  /** The list is too old: targets may have left. */
  | {readonly kind: 'outdated'};
