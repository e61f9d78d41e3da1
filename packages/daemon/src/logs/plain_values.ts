import type {Mask} from './mask';

// Bounds on one line, so that an odd value cannot flood the log.
const MAX_DEPTH = 4;
const MAX_TEXT_LENGTH = 1_000;
const MAX_ITEMS = 50;

/**
 * A value made of plain objects, lists, texts and numbers only, bounded and
 * without secrets.
 *
 * Done here and not by the logger, whose own masking passes over errors, maps
 * and whatever looks like an error: the site's key within an error's message
 * would be logged.
 */
export function toPlain(value: unknown, mask: Mask, depth = 0): unknown {
  if (typeof value === 'string') return plainText(value, mask);
  if (typeof value === 'bigint') return value.toString();
  if (typeof value === 'function') return '[function]';
  if (typeof value === 'symbol') return '[symbol]';
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= MAX_DEPTH) return '[deep]';
  if (value instanceof Error) return plainError(value, mask, depth);
  if (value instanceof Uint8Array) return `[${value.byteLength} bytes]`;
  if (value instanceof Date) return String(value);
  if (value instanceof Map) {
    return plainEntries([...value.entries()], mask, depth);
  }
  if (value instanceof Set) return toPlain([...value], mask, depth);
  if (Array.isArray(value)) {
    const items = value.slice(0, MAX_ITEMS);
    return items.map(item => toPlain(item, mask, depth + 1));
  }
  return plainEntries(Object.entries(value), mask, depth);
}

/** A text without secrets, cut if it is long. */
export function plainText(text: string, mask: Mask): string {
  // Masked before it is cut: half a key at the cut would not be found.
  const masked = mask.text(text);
  if (masked.length <= MAX_TEXT_LENGTH) return masked;
  return `${masked.slice(0, MAX_TEXT_LENGTH)}… (${masked.length} characters)`;
}

function plainEntries(
  entries: readonly (readonly [unknown, unknown])[],
  mask: Mask,
  depth: number,
): unknown {
  const plain = entries.slice(0, MAX_ITEMS).map(([key, item]) => {
    const name = plainText(String(key), mask);
    return [name, mask.field(name) ?? toPlain(item, mask, depth + 1)] as const;
  });
  return Object.fromEntries(plain);
}

function plainError(error: Error, mask: Mask, depth: number): unknown {
  const {name, message, stack, cause} = error;
  const {code} = error as NodeJS.ErrnoException;
  const parts = {name, message, code, stack, cause};
  const known = Object.entries(parts).filter(([, part]) => part !== undefined);
  return plainEntries(known, mask, depth);
}
