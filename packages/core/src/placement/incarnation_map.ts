import type {InstanceName} from '../types';
import {
  isEarlierIncarnation,
  type TargetIdentity,
  type IncarnationStamp,
} from './target_incarnation';

/** Holds a value per target until a newer incarnation is known. */
export interface IncarnationMap<Value> {
  /** Returns undefined unless this incarnation or a later one has a value. */
  readonly get: (target: TargetIdentity) => Value | undefined;
  readonly set: (target: TargetIdentity, value: Value) => void;
}

interface StoredValue<Value> extends IncarnationStamp {
  readonly value: Value;
}

/** Creates a map that holds at most `maxTargets` and evicts the oldest. */
export function createIncarnationMap<Value>(
  maxTargets: number,
): IncarnationMap<Value> {
  const values = new Map<InstanceName, StoredValue<Value>>();

  function get(target: TargetIdentity): Value | undefined {
    const known = values.get(target.instance);
    if (known === undefined || isEarlierIncarnation(known, target)) {
      return undefined;
    }
    return known.value;
  }

  function set(target: TargetIdentity, value: Value): void {
    const {instance, born} = target;
    const known = values.get(instance);
    if (known !== undefined && isEarlierIncarnation(target, known)) return;
    values.delete(instance);
    values.set(instance, {born, value});
    const [oldest] = values.keys();
    if (values.size > maxTargets && oldest !== undefined) {
      values.delete(oldest);
    }
  }

  return {get, set};
}
