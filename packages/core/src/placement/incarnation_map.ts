import type {InstanceName} from '../types';
import {
  isEarlierIncarnation,
  type TargetIdentity,
  type IncarnationStamp,
} from './target_incarnation';

/** What lives of targets have said, until a newer life of theirs is known. */
export interface IncarnationMap<Value> {
  /** Undefined if nothing was said by this life or a later one. */
  readonly get: (target: TargetIdentity) => Value | undefined;
  readonly set: (target: TargetIdentity, value: Value) => void;
}

interface Remembered<Value> extends IncarnationStamp {
  readonly value: Value;
}

/** Creates the memory; it holds `mostTargets` and drops the oldest beyond. */
export function createIncarnationMap<Value>(
  maxTargets: number,
): IncarnationMap<Value> {
  const remembered = new Map<InstanceName, Remembered<Value>>();

  function get(target: TargetIdentity): Value | undefined {
    const known = remembered.get(target.instance);
    if (known === undefined || isEarlierIncarnation(known, target)) {
      return undefined;
    }
    return known.value;
  }

  function set(target: TargetIdentity, value: Value): void {
    const {instance, born} = target;
    const known = remembered.get(instance);
    if (known !== undefined && isEarlierIncarnation(target, known)) return;
    remembered.delete(instance);
    remembered.set(instance, {born, value});
    const [oldest] = remembered.keys();
    if (remembered.size > maxTargets && oldest !== undefined) {
      remembered.delete(oldest);
    }
  }

  return {get, set};
}
