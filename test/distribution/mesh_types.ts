import type {
  Digest,
  InstanceName,
  RolloutPreference,
  SwarmNode,
  SwarmNodeOptions,
} from '@hibiscusbeam/core';
import type {GeneratedVersion} from './versions';

/** A fault that is injected at one point in time. */
export type Fault =
  | {readonly kind: 'kill'; readonly node: number}
  | {readonly kind: 'freeze'; readonly node: number; readonly time: number}
  | {readonly kind: 'restartAgent'; readonly node: number}
  | {readonly kind: 'restartEngine'; readonly node: number}
  | {readonly kind: 'cutSession'; readonly node: number; readonly other: number}
  | {readonly kind: 'originOutage'; readonly time: number}
  | {readonly kind: 'supersede'}
  | {readonly kind: 'corruptNext' | 'crossNext' | 'doubleNext' | 'lateNext'};

/** Size, seed, versions and permanent faults of a mesh. */
export interface MeshOptions {
  readonly nodes: number;
  readonly zones?: number;
  readonly seed: number;
  /**
   * The first version is wanted from the start, the next one after each
   * `supersede`.
   */
  readonly versions: readonly GeneratedVersion[];
  readonly prefer?: RolloutPreference;
  readonly node?: Partial<SwarmNodeOptions>;
  /** Nodes that send only corrupted chunks. */
  readonly badSenders?: readonly number[];
}

/** One agent with its store. */
export interface MeshNode {
  readonly instance: InstanceName;
  readonly zone: string;
  node: SwarmNode;
  /**
   * Counts the restarts of the agent; messages for an earlier incarnation are
   * lost.
   */
  agentIncarnation: number;
  storeIncarnation: number;
  /** Stored bytes, by the digest that they were stored under. */
  store: Map<Digest, string>;
  alive: boolean;
  frozenUntil: number;
  wakeUp: number;
  readonly pieces: Map<number, string>;
  readonly ready: Set<Digest>;
}

/** One request for a chunk. */
export interface MeshRequest {
  readonly at: number;
  readonly by: number;
  readonly from: InstanceName;
  readonly digest: Digest;
}
