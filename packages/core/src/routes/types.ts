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

/** How often a request of a route may run. */
export type RouteKind =
  /** Idempotent: may run any number of times. */
  | 'safe'
  /** Runs at most once for each attempt of the caller. */
  | 'unsafe'
  /** Answered by a stream of events. */
  | 'stream';

/** A service that gets a share of a route's requests. */
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
  /** Maximum time to the end of the answer. */
  readonly timeout: Milliseconds;
  /**
   * Time to the answer, or to a stream's first event, within which it has its
   * full value.
   */
  readonly objective: Milliseconds;
  /** Maximum pause between two events of a stream that is still on time. */
  readonly pauseObjective: Milliseconds | undefined;
  /** 0 goes first. */
  readonly priority: number;
  /** Maximum number of targets that may run one attempt of a caller. */
  readonly attempts: number;
  /** Whether callers need no key. */
  readonly anonymous: boolean;
  /** Whether a broken stream may resume at another target. */
  readonly resumable: boolean;
  /** Regions in which its requests may be served; undefined for all. */
  readonly allowedRegions: readonly RegionName[] | undefined;
}

/** The performance of a service's engines. */
export interface EngineProfile {
  readonly slots: number;
  /** Time of one token step. */
  readonly stepTime: Milliseconds;
  /** Added to a step by each request that generates output. */
  readonly stepTimePerRequest: Milliseconds;
  /** Prompt tokens processed per second. */
  readonly prefillRate: number;
  /** Added for each million pairs of a prompt token and an earlier one. */
  readonly timePerMillionPairs: Milliseconds;
  /** Token steps between two checks for waiting work. */
  readonly stride: number;
  /** Maximum number of prompt tokens processed within one step. */
  readonly prefillChunk: number;
  /** Time to load a staged version. */
  readonly loadTime: Milliseconds;
  /**
   * Added to a step by each thousand tokens of the context of a request that
   * generates output.
   */
  readonly stepTimePerThousandTokens: Milliseconds;
  /**
   * Tokens that an engine's requests may hold in its memory; undefined if it
   * isn't configured.
   */
  readonly memoryTokens: number | undefined;
}

/** The load that a service's targets can take right after a start. */
export interface ColdStart {
  /** How long a target stays cold after a start during traffic. */
  readonly duration: Milliseconds;
  /** Requests per second that a cold target gets from all entries together. */
  readonly sendsPerSecond: number;
}

/** How a model's weights are divided for transfer. */
export interface WeightLayout {
  readonly models: readonly ModelName[];
  readonly chunks: number;
  readonly chunkSize: Bytes;
  readonly layers: number;
}

/** A service that routes refer to, or the origin of weights. */
export type ServiceDescription =
  | {
      readonly kind: 'plain';
      readonly name: ServiceName;
      /** Undefined if its targets take their full share from the start. */
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
  /** 0 goes first; overrides the route's priority if set. */
  readonly priority: number | undefined;
  /** Regions in which its requests may be served; undefined for all. */
  readonly allowedRegions: readonly RegionName[] | undefined;
}

/** Limits on what callers may send and on how long connections are kept. */
export interface CallerLimits {
  readonly headerBytes: Bytes;
  readonly bodyBytes: Bytes;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** The operator's configuration of routes, services and workspaces. */
export interface RoutingConfiguration {
  /** Increases with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  /** Undefined if callers need no keys at all. */
  readonly workspaces: readonly WorkspaceAccess[] | undefined;
  readonly limits: CallerLimits;
}
