import type {IdentifiedManifest} from '@hibiscusbeam/core';
import type {SwarmPeer} from '@hibiscusbeam/daemon';
import type {BenchOptions} from './options';

/** A command from the main process to a worker process. */
export type WorkerCommand =
  | {
      readonly kind: 'begin';
      readonly options: BenchOptions;
      /** Positions of the instances that the worker runs. */
      readonly positions: readonly number[];
      readonly originUrl: string;
    }
  | {readonly kind: 'peers'; readonly peers: readonly SwarmPeer[]}
  | {
      readonly kind: 'want';
      readonly version: IdentifiedManifest;
      readonly superseded: string | undefined;
      /** Number of leading chunks that the stores hold from the start. */
      readonly preload: number;
    }
  | {
      readonly kind: 'fault';
      readonly fault: 'kill' | 'stall' | 'corrupt';
      readonly position: number;
      readonly time: number;
    }
  | {readonly kind: 'finish'};

/** A report from a worker process to the main process. */
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
      /** Total number of neighbours of the worker's instances. */
      readonly neighbours: number;
      readonly cutOffs: number;
    }
  | {readonly kind: 'cpu'; readonly seconds: number};
