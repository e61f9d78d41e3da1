/**
 * The entry that `record` itself holds. Names come from operators: a plain
 * index would answer `constructor` with a function of every object.
 */
export function lookUp<Value>(
  record: {readonly [name: string]: Value},
  name: string,
): Value | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined;
}
