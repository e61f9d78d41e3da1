import type {JsonValue} from '../types';

/**
 * JSON with the names of every object sorted, so that equal values have equal
 * digests.
 */
export function canonicalJson(value: JsonValue): string {
  return JSON.stringify(value, (_name, part: JsonValue) => {
    if (part === null || typeof part !== 'object' || Array.isArray(part)) {
      return part;
    }
    const fields = Object.entries(part);
    fields.sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(fields);
  });
}
