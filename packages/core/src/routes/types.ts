import type {
  Bytes,
  BytesPerSecond,
  Milliseconds,
  ModelName,
  RegionName,
  ServiceName,
  WorkspaceName,
  ZoneName,
} from '../types';

/** What may be done with a request of a route more than once. */
export type RouteKind =
  /** Idempotent: may run any number of times. */
  | 'safe'
  /** Runs at most once for each attempt of the caller. */
  | 'unsafe'
  /** Answered by a stream of events. */
  | 'stream';

/** A service that takes a part of a route's requests. */
export interface RouteShare {
  readonly service: ServiceName;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** How requests of one host and path prefix are served. */
export interface Route {
  readonly name: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly shares: readonly RouteShare[];
  /** Longest time to the end of the answer. */
  readonly timeout: Milliseconds;
  /** Time to the answer, or to a stream's first event, for full use. */
  readonly objective: Milliseconds;
  /** Longest pause between two events of a stream that is still on time. */
  readonly pauseObjective: Milliseconds | undefined;
  /** 0 goes first. */
  readonly priority: number;
  /** Most targets that may run one attempt of a caller. */
  readonly attempts: number;
  /** Whether callers need no key. */
  readonly anonymous: boolean;
  /** Whether a broken stream may go on at another target. */
  readonly resumable: boolean;
  /** Regions in which its requests may be served; undefined for all. */
  readonly allowedRegions: readonly RegionName[] | undefined;
}

/** How fast the engines of a service work. */
export interface EngineProfile {
  readonly slots: number;
  /** Time of one token step. */
  readonly stepTime: Milliseconds;
  /** Added to a step by each request that writes. */
  readonly stepTimePerRequest: Milliseconds;
  /** Prompt tokens read in a second. */
  readonly prefillRate: number;
  /** Added for each million pairs of a prompt token and an earlier one. */
  readonly timePerMillionPairs: Milliseconds;
  /** Token steps between two looks at waiting work. */
  readonly stride: number;
  /** Most prompt tokens read within one step. */
  readonly prefillChunk: number;
  /** Time to load a staged version. */
  readonly loadTime: Milliseconds;
  /** Added to a step by each thousand tokens of a writing request's context. */
  readonly stepTimePerThousandTokens: Milliseconds;
  /** Tokens that an engine's requests may hold; undefined if it is not named. */
  readonly memoryTokens: number | undefined;
}

/** What the targets of a service bear right after a start. */
export interface ColdStart {
  /** How long a target stays cold after a start during traffic. */
  readonly duration: Milliseconds;
  /** Requests a second that a cold target takes from all entries together. */
  readonly sendsPerSecond: number;
}

/** The parts in which a model's weights are moved. */
export interface WeightLayout {
  readonly models: readonly ModelName[];
  readonly chunks: number;
  readonly chunkSize: Bytes;
  readonly layers: number;
}

/** A service that routes name, or the origin of weights. */
export type ServiceDescription =
  | {
      readonly kind: 'plain';
      readonly name: ServiceName;
      /** Undefined if its targets take their share from the start. */
      readonly coldStart: ColdStart | undefined;
    }
  | {
      readonly kind: 'modelEngine';
      readonly name: ServiceName;
      readonly coldStart: ColdStart | undefined;
      readonly profile: EngineProfile;
      readonly weights: WeightLayout;
    }
  | {
      readonly kind: 'weightOrigin';
      readonly name: ServiceName;
      /** `IP:port`. */
      readonly address: string;
      readonly zone: ZoneName | undefined;
      readonly linkRate: BytesPerSecond | undefined;
    };

/** A workspace with the keys of its callers. */
export interface WorkspaceAccess {
  readonly name: WorkspaceName;
  readonly keys: readonly string[];
  /** 0 goes first; goes before the route's priority where it is set. */
  readonly priority: number | undefined;
  /** Regions in which its requests may be served; undefined for all. */
  readonly allowedRegions: readonly RegionName[] | undefined;
}

/** What callers may send, and how long connections are kept. */
export interface CallerLimits {
  readonly headerBytes: Bytes;
  readonly bodyBytes: Bytes;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** The operator's configuration of routes, services and workspaces. */
export interface RoutingConfiguration {
  /** Grows with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  /** Undefined if callers need no keys at all. */
  readonly workspaces: readonly WorkspaceAccess[] | undefined;
  readonly limits: CallerLimits;
}
