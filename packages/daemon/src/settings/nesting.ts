import {Parser, type CST} from 'yaml';

// Settings nest four levels deep; the YAML composer overflows at thousands.
const MAX_NESTING_DEPTH = 32;

/**
 * Whether composing `text` could overflow the stack.
 *
 * The YAML composer recurses once per level, so that a file of brackets would
 * end the process with a fatal error that names no file. The token parser used
 * here has its own stack and is safe at any depth.
 */
export function isNestedTooDeep(text: string): boolean {
  const open: {token: CST.Token; depth: number}[] = [];
  for (const token of new Parser().parse(text)) open.push({token, depth: 0});
  for (let next = open.pop(); next !== undefined; next = open.pop()) {
    const {token, depth} = next;
    if (depth > MAX_NESTING_DEPTH) return true;
    for (const child of childrenOf(token)) {
      open.push({token: child, depth: depth + 1});
    }
  }
  return false;
}

function childrenOf(token: CST.Token): readonly CST.Token[] {
  switch (token.type) {
    case 'document':
      return token.value === undefined ? [] : [token.value];
    case 'block-map':
    case 'block-seq':
    case 'flow-collection':
      return token.items
        .flatMap(item => [item.key, item.value])
        .filter(child => child !== undefined && child !== null);
    default:
      return [];
  }
}
