import type {ColdStart} from '../routes';
import type {
  InstanceName,
  Milliseconds,
  MonotonicInstant,
  ServiceName,
  TargetIncarnation,
} from '../types';
import {
  isEarlierIncarnation,
  targetIncarnationKey,
  type TargetIdentity,
  type IncarnationStamp,
} from './target_incarnation';
import type {ListedTarget} from './types';

/**
 * Time after a cold start during which a target's rate still grows. Without it,
 * all entries send to an empty target at once when it becomes warm.
 */
const RAMP_TIME: Milliseconds = 2_000;

/** Factor by which the rate has grown at the end of the ramp. */
const RAMP_FACTOR = 8;

/** A target in its cold start. */
export interface ColdTarget {
  readonly instance: InstanceName;
  readonly service: ServiceName;
  readonly until: MonotonicInstant;
}

/** Tracks which targets are cold and how many requests they may get. */
export interface ColdTargets {
  /** Replaces the list of targets. */
  readonly list: (
    targets: readonly ListedTarget[],
    now: MonotonicInstant,
  ) => void;
  /**
   * Processes a report, which may show an incarnation that isn't listed yet.
   */
  readonly report: (
    load: IncarnationStamp & {readonly address: string},
    now: MonotonicInstant,
  ) => void;
  readonly isCold: (target: TargetIdentity, now: MonotonicInstant) => boolean;
  /** Requests per second from all entries together; undefined if unlimited. */
  readonly rateOf: (
    key: TargetIncarnation,
    now: MonotonicInstant,
  ) => number | undefined;
  /** Lists all cold targets. */
  readonly all: (now: MonotonicInstant) => readonly ColdTarget[];
}

interface ColdIncarnation extends ColdTarget {
  /**
   * Remaining cold time the target last reported; undefined if only a report
   * shows this incarnation.
   */
  readonly reportedColdFor: Milliseconds | undefined;
}

/**
 * Creates the tracker of cold targets.
 *
 * A target's row is read every second but changes only with its heartbeats, so
 * a value counts from when it is first seen. Counted from each read, the target
 * would stay cold for longer than it reports.
 */
export function createColdTargets(
  coldStartOf: (service: ServiceName) => ColdStart | undefined,
): ColdTargets {
  let incarnations = new Map<TargetIncarnation, ColdIncarnation>();
  let listed = new Map<string, ListedTarget>();

  function list(targets: readonly ListedTarget[], now: MonotonicInstant): void {
    const instances = new Set(targets.map(({instance}) => instance));
    const isKept = ([, known]: [TargetIncarnation, ColdIncarnation]): boolean =>
      known.reportedColdFor === undefined &&
      instances.has(known.instance) &&
      now < known.until + RAMP_TIME;
    const next = new Map([...incarnations].filter(isKept));
    for (const target of targets) {
      const key = targetIncarnationKey(target);
      const {instance, service, coldFor: reportedColdFor} = target;
      const known = incarnations.get(key);
      if (known?.reportedColdFor === reportedColdFor) next.set(key, known);
      else {
        const until =
          reportedColdFor > 0 ? now + reportedColdFor : endOf(known, now);
        next.set(key, {instance, service, reportedColdFor, until});
      }
    }
    incarnations = next;
    listed = new Map(targets.map(target => [target.address, target]));
  }

  function report(
    load: IncarnationStamp & {readonly address: string},
    now: MonotonicInstant,
  ): void {
    const target = listed.get(load.address);
    if (target === undefined || !isEarlierIncarnation(target, load)) return;
    const {instance, service} = target;
    const key = targetIncarnationKey({instance, born: load.born});
    const duration = coldStartOf(service)?.duration;
    if (duration === undefined || incarnations.has(key)) return;
    const until = now + duration;
    incarnations.set(key, {
      instance,
      service,
      reportedColdFor: undefined,
      until,
    });
  }

  function isColdIncarnation(
    {service, until}: ColdIncarnation,
    now: MonotonicInstant,
  ): boolean {
    return now < until && coldStartOf(service) !== undefined;
  }

  function rateOf(
    key: TargetIncarnation,
    now: MonotonicInstant,
  ): number | undefined {
    const known = incarnations.get(key);
    if (known === undefined) return undefined;
    const warmFor = Math.max(0, now - known.until);
    if (warmFor >= RAMP_TIME) return undefined;
    const rate = coldStartOf(known.service)?.sendsPerSecond;
    return rate && rate * RAMP_FACTOR ** (warmFor / RAMP_TIME);
  }

  return {
    list,
    report,
    isCold: (target, now) => {
      const known = incarnations.get(targetIncarnationKey(target));
      return known !== undefined && isColdIncarnation(known, now);
    },
    rateOf,
    all: now =>
      [...incarnations.values()].filter(known => isColdIncarnation(known, now)),
  };
}

/**
 * Returns when a target that reports to be warm became so; a time in the past
 * if it was never cold.
 */
function endOf(
  known: ColdIncarnation | undefined,
  now: MonotonicInstant,
): MonotonicInstant {
  return Math.min(known?.until ?? -Infinity, now);
}
