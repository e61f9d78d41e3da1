import type {Flow} from '../../kernel/flow';
import type {
  AcceptedConfiguration,
  Generation,
  InstanceName,
  Milliseconds,
  MonotonicInstant,
} from '../../types';
import type {TableFlowEffect, TableFlowReply} from './effects';

/** Bounds of spreading; the defaults are in `commands/keeper_bounds.ts`. */
export interface GenerationManagerBounds {
  /** Head reads per second that all processes of the site share. */
  readonly headReadsPerSecond: number;
  /** Shortest time between two head reads of one process. */
  readonly minPollPeriod: Milliseconds;
  /** Peers told at once of a newly adopted generation. */
  readonly fanOut: number;
  /** A pull without answer for so long goes to another peer. */
  readonly pullTimeout: Milliseconds;
}

/** What a generation keeper asks of its daemon. */
export type GenerationManagerEffect =
  /** The daemon starts to use this configuration. */
  | {readonly kind: 'adopted'; readonly accepted: AcceptedConfiguration}
  /** Send these peers a heartbeat now, so that they pull. */
  | {
      readonly kind: 'announceGeneration';
      readonly generation: Generation;
      readonly peers: readonly InstanceName[];
    }
  /** Ask the peer for its configuration; answer by `offer` or `pullFailed`. */
  | {
      readonly kind: 'pullConfiguration';
      readonly peer: InstanceName;
      readonly knownGeneration: Generation;
    }
  /** Read the head row; answer by `hearHead`, or nothing if it fails. */
  | {readonly kind: 'readHead'}
  /** Read a body row; answer by `offer`, or nothing if it fails. */
  | {readonly kind: 'readBody'; readonly generation: Generation};

/** Why an offered configuration was not adopted. */
export type OfferFault =
  | {readonly kind: 'notHigher'; readonly current: Generation}
  /** It is no configuration, or its digest does not fit. */
  | {readonly kind: 'notGenuine'};

/** Who offers a configuration. */
export type OfferSource =
  | {readonly kind: 'platform'}
  | {readonly kind: 'peer'; readonly peer: InstanceName};

/** What a keeper is told at each tick. */
export interface GenerationManagerTick {
  readonly now: MonotonicInstant;
  /** Peers that this process has a session with. */
  readonly peers: readonly InstanceName[];
  /** Live processes of the whole site, this one included. */
  readonly liveProcesses: number;
}

/** A peer's answer to a starting process. */
export type PeerAnswer =
  | {
      readonly kind: 'ready';
      readonly peer: InstanceName;
      readonly generation: Generation;
    }
  /** It does not know the generation either. */
  | {readonly kind: 'starting'; readonly peer: InstanceName};

/** What a starting process asks of its driver. */
export type StartEffect =
  | TableFlowEffect
  /** Name all processes of the site that are known, ready or not. */
  | {readonly kind: 'listPeers'}
  /** Ask each of these peers for its generation, all at once. */
  | {readonly kind: 'askPeers'; readonly peers: readonly InstanceName[]}
  | {readonly kind: 'pullFromPeer'; readonly peer: InstanceName};

/** What its driver answers. */
export type StartReply =
  | TableFlowReply
  | {readonly kind: 'peers'; readonly peers: readonly InstanceName[]}
  | {readonly kind: 'peerAnswers'; readonly answers: readonly PeerAnswer[]}
  /** The configuration as the peer sent it; undefined if it did not. */
  | {readonly kind: 'pulled'; readonly value: unknown};

/** A process on its way to knowing the generation. */
export type StartFlow = Flow<StartEffect, StartReply, AcceptedConfiguration>;

/** One process as seen by whoever follows an intent. */
export interface ProcessGeneration {
  readonly instance: InstanceName;
  /** Undefined if it did not say. */
  readonly generation: Generation | undefined;
}

/** How far a generation has come. */
export interface GenerationStatus {
  readonly isInForce: boolean;
  /** Processes that are behind or silent. */
  readonly lagging: readonly ProcessGeneration[];
}
