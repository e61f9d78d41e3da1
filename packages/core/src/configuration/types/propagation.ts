import type {Flow} from '../../kernel/flow';
import type {
  AcceptedConfiguration,
  Generation,
  InstanceName,
  Milliseconds,
  MonotonicInstant,
} from '../../types';
import type {TableFlowEffect, TableFlowReply} from './effects';

/**
 * Limits of propagation. The defaults are in
 * `commands/generation_manager_bounds.ts`.
 */
export interface GenerationManagerBounds {
  /** Head reads per second that all processes of the site share. */
  readonly headReadsPerSecond: number;
  /** Minimum time between two head reads of one process. */
  readonly minPollPeriod: Milliseconds;
  /**
   * Number of peers to which a newly adopted generation is announced at once.
   */
  readonly fanOut: number;
  /** Time without an answer after which a pull is sent to another peer. */
  readonly pullTimeout: Milliseconds;
}

/** Effects that a generation manager requests from its daemon. */
export type GenerationManagerEffect =
  /** Use this configuration from now on. */
  | {readonly kind: 'adopted'; readonly accepted: AcceptedConfiguration}
  /** Send these peers a heartbeat now, so that they pull the configuration. */
  | {
      readonly kind: 'announceGeneration';
      readonly generation: Generation;
      readonly peers: readonly InstanceName[];
    }
  /**
   * Request the peer's configuration; report the result with `offer` or
   * `recordPullFailure`.
   */
  | {
      readonly kind: 'pullConfiguration';
      readonly peer: InstanceName;
      readonly knownGeneration: Generation;
    }
  /**
   * Read the head row; report it with `receiveHead`, or report nothing if the
   * read fails.
   */
  | {readonly kind: 'readHead'}
  /**
   * Read a body row; report it with `offer`, or report nothing if the read
   * fails.
   */
  | {readonly kind: 'readBody'; readonly generation: Generation};

/** Why an offered configuration was not adopted. */
export type OfferFault =
  | {readonly kind: 'notHigher'; readonly current: Generation}
  /** The value is not a configuration, or its digest does not match. */
  | {readonly kind: 'notGenuine'};

/** Source of an offered configuration. */
export type OfferSource =
  | {readonly kind: 'platform'}
  | {readonly kind: 'peer'; readonly peer: InstanceName};

/** Input of a generation manager at each tick. */
export interface GenerationManagerTick {
  readonly now: MonotonicInstant;
  /** Peers with which this process has a session. */
  readonly peers: readonly InstanceName[];
  /** Live processes of the whole site, including this one. */
  readonly liveProcesses: number;
}

/** A peer's answer to a starting process. */
export type PeerAnswer =
  | {
      readonly kind: 'ready';
      readonly peer: InstanceName;
      readonly generation: Generation;
    }
  /** The peer does not know the generation either. */
  | {readonly kind: 'starting'; readonly peer: InstanceName};

/** Effects that a starting process requests from its driver. */
export type StartEffect =
  | TableFlowEffect
  /** List all known processes of the site, ready or not. */
  | {readonly kind: 'listPeers'}
  /** Query the generation of each of these peers concurrently. */
  | {readonly kind: 'askPeers'; readonly peers: readonly InstanceName[]}
  | {readonly kind: 'pullFromPeer'; readonly peer: InstanceName};

/** Replies of the driver of a starting process. */
export type StartReply =
  | TableFlowReply
  | {readonly kind: 'peers'; readonly peers: readonly InstanceName[]}
  | {readonly kind: 'peerAnswers'; readonly answers: readonly PeerAnswer[]}
  /** The configuration as sent by the peer; undefined if it sent none. */
  | {readonly kind: 'pulled'; readonly value: unknown};

/** Flow of a starting process that determines the generation in force. */
export type StartFlow = Flow<StartEffect, StartReply, AcceptedConfiguration>;

/** The generation that one process has reported. */
export interface ProcessGeneration {
  readonly instance: InstanceName;
  /** Undefined if the process did not report it. */
  readonly generation: Generation | undefined;
}

/** Whether a generation is in force at all processes. */
export interface GenerationStatus {
  readonly isInForce: boolean;
  /** Processes that have an older generation or are silent. */
  readonly lagging: readonly ProcessGeneration[];
}
