import type {
  Bytes,
  FencingSupport,
  InstanceName,
  Milliseconds,
  RegionName,
  ServiceName,
  TargetName,
  WorkspaceName,
  ZoneName,
} from '@hibiscusbeam/core';

/** A TCP address whose host is an IP number. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** How to reach the platform. */
export interface PlatformSettings {
  /** Base address of the platform's HTTP interface. */
  readonly url: string;
  /** Call timeout, after which the call counts as lost. */
  readonly timeout: Milliseconds;
}

/** A bearer key in its stored form, which is only its hash. */
export interface HashedKey<Name extends string> {
  readonly name: Name;
  /** SHA-256 of the key, in hexadecimal. */
  readonly sha256: string;
}

/** Level and format of the log. */
export interface LogSettings {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly format: 'json' | 'pretty';
}

/** Receiver and prefix of metrics; none are sent without it. */
export interface MetricsSettings {
  readonly address: SocketAddress;
  readonly prefix: string;
}

/** Settings that every process of the site has. */
export interface CommonSettings {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
  readonly region: RegionName;
  /** Where this process listens for other processes of the site (gRPC). */
  readonly siteAddress: SocketAddress;
  /** The key that the site's processes use to authenticate to one another. */
  readonly siteKey: string;
  readonly platform: PlatformSettings;
  readonly log: LogSettings;
  readonly metrics: MetricsSettings | undefined;
}

/** How to reach the older system. */
export interface OlderSystemSettings {
  /** Base address of its HTTP interface for moves. */
  readonly url: string;
}

/** Limits on what callers may send or occupy. */
export interface CallerLimits {
  readonly requestBody: Bytes;
  readonly jsonDepth: number;
  /** Max requests waiting for a target at this entry. */
  readonly waiting: number;
  /** Max deadline that a caller may request. */
  readonly longestDeadline: Milliseconds;
}

/** Settings of an entry, resolved. */
export interface EntrySettings extends CommonSettings {
  readonly role: 'entry';
  /** Where callers and operators connect (HTTP). */
  readonly callerAddress: SocketAddress;
  readonly operatorKeys: readonly HashedKey<string>[];
  readonly workspaceKeys: readonly HashedKey<WorkspaceName>[];
  /** The system that this one takes over from; undefined if there is none. */
  readonly olderSystem: OlderSystemSettings | undefined;
  readonly limits: CallerLimits;
  /** How long callers may cache the addresses of entries. */
  readonly addressesKeptFor: Milliseconds;
}

/** The target in whose slot an agent runs. */
export interface AgentTargetSettings {
  readonly name: TargetName;
  readonly kind: 'modelEngine' | 'plainService';
  /** The plain service's name; absent for a model engine. */
  readonly service: ServiceName | undefined;
  /** Base address of the target's HTTP interface. */
  readonly url: string;
  readonly fencing: FencingSupport;
}

/** Settings of an agent, resolved. */
export interface AgentSettings extends CommonSettings {
  readonly role: 'agent';
  readonly target: AgentTargetSettings;
  /** Max chunk bytes held in the agent's memory at once. */
  readonly transferBuffer: Bytes;
}

/** Settings of one process, resolved and checked. */
export type ProcessSettings = EntrySettings | AgentSettings;
