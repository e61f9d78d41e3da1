import type {MonotonicInstant, Suspect, TargetIncarnation} from '../types';
import type {ChangedRows} from '../utils/revisioned_rows';

/** The end of a target's incarnation during an attempt. */
export interface EndedLife {
  readonly life: TargetIncarnation;
  readonly sentAt: MonotonicInstant;
  readonly endedAt: MonotonicInstant;
}

/** What is known about a suspect during whose attempts targets have ended. */
export interface CrashRecord {
  readonly suspect: Suspect;
  readonly endings: readonly EndedLife[];
  /**
   * When a target last began an answer that it survived; attempts sent before
   * don't count.
   */
  readonly answeredAt: MonotonicInstant | undefined;
  /** Position of a part in its prompts, from 1; undefined for a request. */
  readonly depth: number | undefined;
}

/** How an entry has learned what changed its verdict about a suspect. */
export type VerdictOrigin = 'observed' | 'relayed' | 'stored';

/** A change of whether a suspect is quarantined. */
export interface Verdict {
  readonly suspect: Suspect;
  readonly isQuarantined: boolean;
  readonly origin: VerdictOrigin;
}

/** Options of a quarantine. */
export interface QuarantineOptions {
  /** Maximum number of suspects that are remembered. */
  readonly maxRecords?: number;
  readonly onVerdict?: (verdict: Verdict) => void;
}

/** Suspects during whose attempts targets have ended. */
export interface Quarantine {
  /**
   * Records an ending observed here; `suspects` are the request and the parts of
   * its prompt, in order. Returns the suspects for which the ending is new.
   */
  readonly recordEnding: (
    suspects: readonly Suspect[],
    ending: EndedLife,
  ) => readonly Suspect[];
  /**
   * Records an answer that a target has begun and survived; returns whether it
   * clears a suspicion.
   */
  readonly recordAnswer: (
    suspect: Suspect,
    begunAt: MonotonicInstant,
  ) => boolean;
  /** Merges another entry's records; returns whether any of them is new. */
  readonly merge: (records: readonly CrashRecord[]) => boolean;
  /** Records that changed after `revision`, at most `most`. */
  readonly changedSince: (
    revision: number,
    most: number,
  ) => ChangedRows<CrashRecord>;
  /** Whether requests with the suspect are sent to no other target. */
  readonly isQuarantined: (suspect: Suspect) => boolean;
  /** Number of suspects that are quarantined. */
  readonly size: () => number;
  /** Applies the site's stored rows: all of them or those that changed. */
  readonly recordStored: (suspect: Suspect, isStored: boolean) => void;
  /** Drops the site's stored rows, before all are read again. */
  readonly forgetStored: () => void;
}
