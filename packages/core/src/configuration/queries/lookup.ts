/**
 * Returns an own property of `record`. Names come from operators: a plain index
 * access to `constructor` would return a function inherited by every object.
 */
export function lookUp<Value>(
  record: {readonly [name: string]: Value},
  name: string,
): Value | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined;
}
