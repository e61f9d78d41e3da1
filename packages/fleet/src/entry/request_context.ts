import type {
  FirstEventTimes,
  ListedTarget,
  NamedVersions,
  Quarantine,
  TargetRegistry,
  ZoneName,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestProtocol} from '../ports';
import type {RequestBuffers} from './buffered_bytes';
import type {StallMonitor} from '../runtime/stall_monitor';
import type {CrashMonitor} from './crash_monitor';
import type {EntryAdmission} from './entry_admission';
import type {EntryQuarantine} from './entry_quarantine';
import type {FleetMetrics} from './fleet_metrics';
import type {OperatorFollower} from './operator_follower';
import type {SlotOutcome, SlotQueue} from './slot_queue';
import type {QuarantineTrials} from './quarantine_trials';
import type {RetryBudgets} from './retry_budgets';
import type {AcceptedRequest, KeyConfirmation} from './request_acceptance';
import type {RequestTrace} from './request_trace';
import type {StreamHandover} from './stream_handover';
import type {StreamProgress} from './stream_relay';
import type {HeaderRecorder} from './header_recorder';
import type {Timeliness} from './timeliness';
import type {UnbegunAttempts} from './unbegun_attempts';

/** Dependencies shared by the runs of all requests. */
export interface RequestRunOptions extends KeyConfirmation {
  readonly protocol: RequestProtocol;
  readonly operator: OperatorFollower;
  readonly registry: TargetRegistry;
  readonly places: SlotQueue;
  readonly budgets: RetryBudgets;
  readonly handover: StreamHandover;
  readonly versions: NamedVersions;
  readonly unbegun: UnbegunAttempts;
  /** Availability zone of this entry. */
  readonly zone: ZoneName;
  readonly timeliness: Timeliness;
  readonly answerTimes: FirstEventTimes;
  readonly admission: EntryAdmission;
  readonly quarantine: Quarantine;
  readonly trials: QuarantineTrials;
  readonly onQuarantined: EntryQuarantine['onQuarantined'];
  readonly crashMonitor: CrashMonitor;
  readonly stalls: Pick<StallMonitor, 'hasStalled'>;
  readonly headerRecorder: HeaderRecorder;
  readonly metrics: FleetMetrics;
  readonly clock: Clock;
  readonly log: Log;
  /** Header lines that the entry adds to answers. */
  readonly ownLines: () => readonly string[];
}

/** One request and its state while it runs. */
export interface RequestRunContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly accepted: AcceptedRequest;
  readonly trace: RequestTrace;
  readonly progress: StreamProgress;
  readonly buffers: RequestBuffers;
  /** Aborts at the deadline and when the caller has disconnected. */
  readonly signal: AbortSignal;
  /** Why the signal was aborted; undefined until then. */
  readonly endedBy: () => 'callerGone' | 'timedOut' | undefined;
}

/** A slot that a request has taken. */
export type TakenSlot = Extract<SlotOutcome, {readonly kind: 'place'}>;

/** An attempt that is about to start. */
export interface PlannedAttempt {
  readonly place: TakenSlot;
  /** Targets that were sent the request before. */
  readonly tried: readonly ListedTarget[];
  /** The version that the target must hold; undefined if any will do. */
  readonly version: number | undefined;
}
