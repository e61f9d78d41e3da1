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
 * Time after a target's cold start in which its rate still grows. Without it all
 * entries send to an empty target at once when it becomes warm.
 */
const RAMP_TIME: Milliseconds = 2_000;

/** How often the rate of a cold target is reached at the ramp's end. */
const RAMP_FACTOR = 8;

/** A target that is cold. */
export interface ColdTarget {
  readonly instance: InstanceName;
  readonly service: ServiceName;
  readonly until: MonotonicInstant;
}

/** Knows which targets are cold, and what they bear. */
export interface ColdTargets {
  /** Takes the list of targets with their own words. */
  readonly list: (
    targets: readonly ListedTarget[],
    now: MonotonicInstant,
  ) => void;
  /** Takes a report, which may show a life that the list doesn't have yet. */
  readonly report: (
    load: IncarnationStamp & {readonly address: string},
    now: MonotonicInstant,
  ) => void;
  readonly isCold: (target: TargetIdentity, now: MonotonicInstant) => boolean;
  /** Requests a second from all entries together; undefined for no limit. */
  readonly rateOf: (
    life: TargetIncarnation,
    now: MonotonicInstant,
  ) => number | undefined;
  /** All targets that are cold. */
  readonly all: (now: MonotonicInstant) => readonly ColdTarget[];
}

interface ColdIncarnation extends ColdTarget {
  /** What the target said last; undefined if only a report shows this life. */
  readonly said: Milliseconds | undefined;
}

/**
 * Creates the memory of cold targets.
 *
 * Failure: a target's line is read each second and stays the same between two of
 * its heartbeats; counted from each reading, the target would stay cold for
 * longer than it says. Guard: a value counts from when it is first seen.
 */
export function createColdTargets(
  coldStartOf: (service: ServiceName) => ColdStart | undefined,
): ColdTargets {
  let noted = new Map<TargetIncarnation, ColdIncarnation>();
  let listed = new Map<string, ListedTarget>();

  function list(targets: readonly ListedTarget[], now: MonotonicInstant): void {
    const instances = new Set(targets.map(({instance}) => instance));
    const isKept = ([, life]: [TargetIncarnation, ColdIncarnation]): boolean =>
      life.said === undefined &&
      instances.has(life.instance) &&
      now < life.until + RAMP_TIME;
    const next = new Map([...noted].filter(isKept));
    for (const target of targets) {
      const life = targetIncarnationKey(target);
      const {instance, service, coldFor: said} = target;
      const known = noted.get(life);
      if (known?.said === said) next.set(life, known);
      else {
        const until = said > 0 ? now + said : endOf(known, now);
        next.set(life, {instance, service, said, until});
      }
    }
    noted = next;
    listed = new Map(targets.map(target => [target.address, target]));
  }

  function report(
    load: IncarnationStamp & {readonly address: string},
    now: MonotonicInstant,
  ): void {
    const target = listed.get(load.address);
    if (target === undefined || !isEarlierIncarnation(target, load)) return;
    const {instance, service} = target;
    const life = targetIncarnationKey({instance, born: load.born});
    const duration = coldStartOf(service)?.duration;
    if (duration === undefined || noted.has(life)) return;
    const until = now + duration;
    noted.set(life, {instance, service, said: undefined, until});
  }

  function isColdIncarnation(
    {service, until}: ColdIncarnation,
    now: MonotonicInstant,
  ): boolean {
    return now < until && coldStartOf(service) !== undefined;
  }

  function rateOf(
    life: TargetIncarnation,
    now: MonotonicInstant,
  ): number | undefined {
    const known = noted.get(life);
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
      const known = noted.get(targetIncarnationKey(target));
      return known !== undefined && isColdIncarnation(known, now);
    },
    rateOf,
    all: now =>
      [...noted.values()].filter(life => isColdIncarnation(life, now)),
  };
}

/** When a target that says it is warm has become so; the past if it never was cold. */
function endOf(
  known: ColdIncarnation | undefined,
  now: MonotonicInstant,
): MonotonicInstant {
  return Math.min(known?.until ?? -Infinity, now);
}
