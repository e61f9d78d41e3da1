// Bounds on one line, so that an odd value cannot flood the log.
const DEEPEST = 4;
const LONGEST_TEXT = 1_000;
const MOST_ITEMS = 50;

/** A value made of plain objects, lists, texts and numbers only, bounded. */
export function toPlain(value: unknown, depth = 0): unknown {
  if (typeof value === 'string') return shorten(value);
  if (typeof value === 'bigint') return value.toString();
  if (typeof value === 'function') return '[function]';
  if (typeof value === 'symbol') return '[symbol]';
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= DEEPEST) return '[deep]';
  if (value instanceof Error) return plainError(value, depth);
  if (value instanceof Uint8Array) return `[${value.byteLength} bytes]`;
  if (value instanceof Date) return String(value);
  if (value instanceof Map) return plainEntries([...value.entries()], depth);
  if (value instanceof Set) return toPlain([...value], depth);
  if (Array.isArray(value)) {
    return value.slice(0, MOST_ITEMS).map(item => toPlain(item, depth + 1));
  }
  return plainEntries(Object.entries(value), depth);
}

function plainEntries(
  entries: readonly (readonly [unknown, unknown])[],
  depth: number,
): unknown {
  return Object.fromEntries(
    entries
      .slice(0, MOST_ITEMS)
      .map(([name, item]) => [shorten(String(name)), toPlain(item, depth + 1)]),
  );
}

function plainError(error: Error, depth: number): unknown {
  const {name, message, stack, cause} = error;
  const code = (error as NodeJS.ErrnoException).code;
  return {
    name,
    message: shorten(message),
    ...(code === undefined ? {} : {code: String(code)}),
    ...(stack === undefined ? {} : {stack: shorten(stack)}),
    ...(cause === undefined ? {} : {cause: toPlain(cause, depth + 1)}),
  };
}

function shorten(text: string): string {
  if (text.length <= LONGEST_TEXT) return text;
  return `${text.slice(0, LONGEST_TEXT)}… (${text.length} characters)`;
}
