import type * as z from 'zod';
import {valueAt} from './cross_checks';
import {isKnownField} from './reference';
import type {FieldPath, UnlocatedFault} from './types';

/** Converts the issues of a schema into faults. */
export function toFaults(
  value: unknown,
  issues: readonly z.core.$ZodIssue[],
): readonly UnlocatedFault[] {
  return issues.flatMap(issue => {
    const path = issue.path.map(step =>
      typeof step === 'symbol' ? step.toString() : step,
    );
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map(name => unknownField(value, [...path, name]));
    }
    if (valueAt(value, path) === undefined) {
      return [{kind: 'missingField', path, detail: 'is required'} as const];
    }
    return [{kind: 'wrongValue', path, detail: issue.message} as const];
  });
}

function unknownField(value: unknown, path: FieldPath): UnlocatedFault {
  const role = String(valueAt(value, ['role']));
  const detail = isKnownField(path)
    ? `is not a setting of an ${role}`
    : 'is not a known setting';
  return {kind: 'unknownField', path, detail};
}
