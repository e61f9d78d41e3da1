import type {Mask} from './mask';

// Limits on one line, so that an unusual value cannot flood the log.
const MAX_DEPTH = 4;
const MAX_TEXT_LENGTH = 1_000;
const MAX_ITEMS = 50;

/**
 * Converts a value to plain objects, arrays, strings and numbers, with limited
 * size and without secrets.
 *
 * The logger's own masking skips errors, maps and error-like objects, so it
 * would log the site's key if an error message contained it.
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

/** Masks the secrets in a text and truncates it if it is long. */
export function plainText(text: string, mask: Mask): string {
  // Masked before truncation, which could split a key so that it is not found.
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
  const definedParts = Object.entries(parts).filter(
    ([, part]) => part !== undefined,
  );
  return plainEntries(definedParts, mask, depth);
}
