import type {InstanceName} from '../types';
import {isFormerLife, type LivingTarget, type OfLife} from './target_life';

/** What lives of targets have said, until a newer life of theirs is known. */
export interface LifeMemory<Value> {
  /** Undefined if nothing was said by this life or a later one. */
  readonly get: (target: LivingTarget) => Value | undefined;
  readonly set: (target: LivingTarget, value: Value) => void;
}

interface Remembered<Value> extends OfLife {
  readonly value: Value;
}

/** Creates the memory; it holds `mostTargets` and drops the oldest beyond. */
export function createLifeMemory<Value>(
  mostTargets: number,
): LifeMemory<Value> {
  const remembered = new Map<InstanceName, Remembered<Value>>();

  function get(target: LivingTarget): Value | undefined {
    const known = remembered.get(target.instance);
    if (known === undefined || isFormerLife(known, target)) return undefined;
    return known.value;
  }

  function set(target: LivingTarget, value: Value): void {
    const {instance, born} = target;
    const known = remembered.get(instance);
    if (known !== undefined && isFormerLife(target, known)) return;
    remembered.delete(instance);
    remembered.set(instance, {born, value});
    const [oldest] = remembered.keys();
    if (remembered.size > mostTargets && oldest !== undefined) {
      remembered.delete(oldest);
    }
  }

  return {get, set};
}
