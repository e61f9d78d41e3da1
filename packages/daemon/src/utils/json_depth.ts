const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKETS = new Set([0x5b, 0x7b]);
const CLOSING_BRACKETS = new Set([0x5d, 0x7d]);

/**
 * Whether JSON text nests no deeper than `limit`. Checked before parsing, since
 * deep nesting would overflow the stack of code that walks the parsed value.
 */
export function isWithinDepth(text: string, limit: number): boolean {
  let depth = 0;
  let inString = false;
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (inString) {
      if (code === BACKSLASH) index++;
      else if (code === QUOTE) inString = false;
      continue;
    }
    if (code === QUOTE) inString = true;
    else if (OPENING_BRACKETS.has(code)) depth++;
    else if (CLOSING_BRACKETS.has(code)) depth--;
    if (depth > limit) return false;
  }
  return true;
}
