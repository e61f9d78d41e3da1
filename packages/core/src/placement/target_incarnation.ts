import type {
  EpochMilliseconds,
  InstanceName,
  TargetIncarnation,
} from '../types';

/** Something that one life of a target says, or that is said of it. */
export interface IncarnationStamp {
  /** Start of that life; undefined if the target doesn't say it. */
  readonly born: EpochMilliseconds | undefined;
}

/**
 * Whether `one` is of a life before that of `other`.
 *
 * Failure: a target starts again under the id that it had, and a late word of
 * its former life is taken for news: requests go to an engine that holds
 * nothing. Guard: both lives are dated by the same machine, and the earlier one
 * has nothing to say. Lives without a date can't be told apart here.
 */
export function isEarlierIncarnation(
  one: IncarnationStamp,
  other: IncarnationStamp,
): boolean {
  if (one.born === undefined || other.born === undefined) return false;
  return one.born < other.born;
}

/** Whether both are of one life, as far as can be told. */
export function isSameIncarnation(
  one: IncarnationStamp,
  other: IncarnationStamp,
): boolean {
  return !isEarlierIncarnation(one, other) && !isEarlierIncarnation(other, one);
}

/** A target, as far as its lives are told apart. */
export interface TargetIdentity extends IncarnationStamp {
  readonly instance: InstanceName;
}

/** Names a life; lives without a date are named alike under one id. */
export function targetIncarnationKey({
  instance,
  born,
}: TargetIdentity): TargetIncarnation {
  return born === undefined ? instance : `${instance}/${born}`;
}
