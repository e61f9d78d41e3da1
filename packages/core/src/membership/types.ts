import type {
  Incarnation,
  InstanceName,
  MonotonicInstant,
  RegionName,
  ZoneName,
} from '../types';

/**
 * `joining`: known, not heard for long enough; `live`: gets work; `suspect`:
 * silent, gets no new work; `dead`: silent for long; `leaving`: said so, or the
 * platform did.
 */
export type Liveness = 'joining' | 'live' | 'suspect' | 'dead' | 'leaving';

/** Who an instance is and where. */
export interface MemberIdentity {
  readonly instance: InstanceName;
  readonly role: 'entry' | 'agent';
  /** Address of the process's gRPC face, `IP:port`. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly region: RegionName;
}

/** One line of the platform's list, as the membership reads it. */
export interface ListedMember extends MemberIdentity {
  readonly state: 'live' | 'leaving';
}

/** An instance as this process sees it. */
export interface Member extends MemberIdentity {
  /** 0 until it said hello. */
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

/** What became of a message. */
export type MessageOutcome =
  | 'taken'
  /** Old, doubled, or from one that already left. */
  | 'ignored'
  /** The sender must say hello first. */
  | 'needsHello';

/** A heartbeat's part that the membership reads. */
export interface MemberHeartbeat {
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
  /** Rises over the sender's whole life, across its sessions. */
  readonly sequence: number;
  readonly leaving: boolean;
}

/** Changes since a position, or all members if the position is too old. */
export interface LivenessDelta {
  readonly kind: 'changes' | 'all';
  readonly changes: readonly LivenessChange[];
  /** Position to ask from next time. */
  readonly latest: number;
}

/** What this process knows of the others. */
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
  /** The session broke: no new work until the instance is heard again. */
  readonly sessionLost: (
    instance: InstanceName,
    incarnation: Incarnation,
    now: MonotonicInstant,
  ) => void;
  /** The platform's list, whole; late. */
  readonly list: (
    lines: readonly ListedMember[],
    now: MonotonicInstant,
  ) => void;
  /** To be called every TICK_PERIOD. */
  readonly tick: (now: MonotonicInstant) => void;
  /** What another process says of instances that we do not hear ourselves. */
  readonly applyDelta: (reporter: InstanceName, delta: LivenessDelta) => void;
  readonly members: () => readonly Member[];
  /** Liveness from our own ear or, where we have none, from live tellers. */
  readonly livenessOf: (instance: InstanceName) => Liveness | undefined;
  /** What changed since a position of ours; 0 for all. */
  readonly changesSince: (position: number) => LivenessDelta;
}
