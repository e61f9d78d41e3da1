import type {
  Incarnation,
  InstanceName,
  MonotonicInstant,
  RegionName,
  ZoneName,
} from '../types';

/**
 * `joining`: known, but has not sent messages for long enough; `live`: gets
 * work; `suspect`: silent, gets no new work; `dead`: silent for long;
 * `leaving`: announced by the instance itself or by the platform.
 */
export type Liveness = 'joining' | 'live' | 'suspect' | 'dead' | 'leaving';

/** Identity and location of an instance. */
export interface MemberIdentity {
  readonly instance: InstanceName;
  readonly role: 'entry' | 'agent';
  /** Address of the process's gRPC server, `IP:port`. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly region: RegionName;
}

/** One entry of the platform's list. */
export interface ListedMember extends MemberIdentity {
  readonly state: 'live' | 'leaving';
}

/** An instance as seen by this process. */
export interface Member extends MemberIdentity {
  /** 0 until the instance has sent a hello. */
  readonly incarnation: Incarnation;
  readonly liveness: Liveness;
  readonly since: MonotonicInstant;
}

/** A change of one instance's liveness. */
export interface LivenessChange {
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
  readonly liveness: Liveness;
}

/** Outcome of a message. */
export type MessageOutcome =
  | 'taken'
  /** Old, duplicated, or from an instance that has already left. */
  | 'ignored'
  /** The sender must send a hello first. */
  | 'needsHello';

/** The fields of a heartbeat that the membership uses. */
export interface MemberHeartbeat {
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
  /** Increases over the sender's whole incarnation, across its sessions. */
  readonly sequence: number;
  readonly leaving: boolean;
}

/** Changes since a position, or all members if the position is too old. */
export interface LivenessDelta {
  readonly kind: 'changes' | 'all';
  readonly changes: readonly LivenessChange[];
  /** Position to request changes from next time. */
  readonly latest: number;
}

/** The other processes as seen by this one. */
export interface Membership {
  readonly hello: (
    identity: MemberIdentity,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => MessageOutcome;
  readonly heartbeat: (
    heartbeat: MemberHeartbeat,
    now: MonotonicInstant,
  ) => MessageOutcome;
  readonly goodbye: (
    instance: InstanceName,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => MessageOutcome;
  /**
   * The session broke: the instance gets no new work until a message arrives
   * again.
   */
  readonly sessionLost: (
    instance: InstanceName,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => void;
  /** The complete list of the platform, which lags. */
  readonly list: (
    lines: readonly ListedMember[],
    now: MonotonicInstant,
  ) => void;
  /** Must be called every TICK_PERIOD. */
  readonly tick: (now: MonotonicInstant) => void;
  /**
   * Applies a report of another process about instances without a session here.
   */
  readonly applyDelta: (reporter: InstanceName, delta: LivenessDelta) => void;
  readonly members: () => readonly Member[];
  /**
   * Liveness from received messages or, without any, from reports of live
   * processes.
   */
  readonly livenessOf: (instance: InstanceName) => Liveness | undefined;
  /** Changes since a position of this process's log; 0 returns all members. */
  readonly changesSince: (position: number) => LivenessDelta;
}
