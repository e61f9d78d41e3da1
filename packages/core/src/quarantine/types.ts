import type {
  MonotonicInstant,
  RequestFingerprint,
  TargetIncarnation,
} from '../types';
import type {ChangedRows} from '../utils/revisioned_rows';

/** The end of a target's incarnation while it ran a request. */
export interface EndedLife {
  readonly life: TargetIncarnation;
  readonly endedAt: MonotonicInstant;
}

/** What is known about a request during which targets have ended. */
export interface CrashRecord {
  readonly fingerprint: RequestFingerprint;
  readonly endings: readonly EndedLife[];
  /** When a target last answered it completely; earlier endings don't count. */
  readonly completedAt: MonotonicInstant | undefined;
}

/** Requests during which targets have ended, and those that are quarantined. */
export interface Quarantine {
  /** Records an ending observed here; returns whether it is new. */
  readonly recordEnding: (
    fingerprint: RequestFingerprint,
    ending: EndedLife,
  ) => boolean;
  /**
   * Records a complete response received here; returns whether it clears a
   * suspicion.
   */
  readonly recordCompletion: (
    fingerprint: RequestFingerprint,
    completedAt: MonotonicInstant,
  ) => boolean;
  /** Merges another entry's record; returns whether it is new. */
  readonly merge: (record: CrashRecord) => boolean;
  /** Records that changed after `revision`, at most `most`. */
  readonly changedSince: (
    revision: number,
    most: number,
  ) => ChangedRows<CrashRecord>;
  /**
   * Whether so many targets have ended under it that it is sent to no other
   * one.
   */
  readonly isQuarantined: (fingerprint: RequestFingerprint) => boolean;
  /** Applies the site's stored rows: all of them or those that changed. */
  readonly recordStored: (
    fingerprint: RequestFingerprint,
    isStored: boolean,
  ) => void;
  /** Drops the site's stored rows, before all are read again. */
  readonly forgetStored: () => void;
}
