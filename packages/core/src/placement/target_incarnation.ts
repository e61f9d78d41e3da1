import type {
  EpochMilliseconds,
  InstanceName,
  TargetIncarnation,
} from '../types';

/** Data that belongs to one incarnation of a target. */
export interface IncarnationStamp {
  /** Start of the incarnation; undefined if the target doesn't report it. */
  readonly born: EpochMilliseconds | undefined;
}

/**
 * Whether `one` is of an earlier incarnation than `other`.
 *
 * Without this, late data of a previous incarnation counts as an update after a
 * target has restarted under the same id, and requests go to an engine that
 * holds nothing. Both times stem from the same machine's clock. Incarnations
 * without a start time can't be told apart.
 */
export function isEarlierIncarnation(
  one: IncarnationStamp,
  other: IncarnationStamp,
): boolean {
  if (one.born === undefined || other.born === undefined) return false;
  return one.born < other.born;
}

/** Whether both are of the same incarnation, as far as is known. */
export function isSameIncarnation(
  one: IncarnationStamp,
  other: IncarnationStamp,
): boolean {
  return !isEarlierIncarnation(one, other) && !isEarlierIncarnation(other, one);
}

/** Identifies an incarnation of a target. */
export interface TargetIdentity extends IncarnationStamp {
  readonly instance: InstanceName;
}

/**
 * Returns the key of an incarnation; those without a start time share the
 * instance's id.
 */
export function targetIncarnationKey({
  instance,
  born,
}: TargetIdentity): TargetIncarnation {
  return born === undefined ? instance : `${instance}/${born}`;
}
