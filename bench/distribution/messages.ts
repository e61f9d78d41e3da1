import type {IdentifiedManifest} from '@hibiscusbeam/core';
import type {SwarmPeer} from '@hibiscusbeam/daemon';
import type {BenchOptions} from './options';

/** What the bench tells one of its processes. */
export type WorkerCommand =
  | {
      readonly kind: 'begin';
      readonly options: BenchOptions;
      /** Positions of the instances that this process runs. */
      readonly positions: readonly number[];
      readonly originUrl: string;
    }
  | {readonly kind: 'peers'; readonly peers: readonly SwarmPeer[]}
  | {
      readonly kind: 'want';
      readonly version: IdentifiedManifest;
      readonly superseded: string | undefined;
      /** How many of the version's first chunks the stores hold beforehand. */
      readonly preload: number;
    }
  | {
      readonly kind: 'fault';
      readonly fault: 'kill' | 'stall' | 'corrupt';
      readonly position: number;
      readonly time: number;
    }
  | {readonly kind: 'finish'};

/** What a process answers. */
export type WorkerReport =
  | {readonly kind: 'listening'; readonly peers: readonly SwarmPeer[]}
  | {readonly kind: 'connected'}
  | {
      readonly kind: 'ready';
      readonly instance: string;
      readonly versionDigest: string;
    }
  | {
      readonly kind: 'finished';
      readonly verified: boolean;
      readonly controlBytes: number;
      readonly crossZoneBytes: number;
      readonly requests: number;
      /** Neighbours of all instances of this process together. */
      readonly neighbours: number;
      readonly cutOffs: number;
    }
  | {readonly kind: 'cpu'; readonly seconds: number};
