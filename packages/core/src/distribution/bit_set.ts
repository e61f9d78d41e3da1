/** A fixed-size set of small integers, one bit each. */
export interface BitSet {
  readonly size: number;
  readonly has: (position: number) => boolean;
  /** Returns true if the position was not in the set. */
  readonly add: (position: number) => boolean;
  /** Returns true if the position was in the set. */
  readonly remove: (position: number) => boolean;
  readonly count: () => number;
  readonly positions: () => readonly number[];
}

/** Creates an empty set of positions from 0 to `size` exclusive. */
export function createBitSet(size: number): BitSet {
  const words = new Uint8Array((size + 7) >> 3);
  let members = 0;

  function has(position: number): boolean {
    return ((words[position >> 3] ?? 0) & (1 << (position & 7))) !== 0;
  }

  return {
    size,
    has,
    add(position) {
      if (position < 0 || position >= size || has(position)) return false;
      words[position >> 3]! |= 1 << (position & 7);
      members += 1;
      return true;
    },
    remove(position) {
      if (!has(position)) return false;
      words[position >> 3]! &= ~(1 << (position & 7));
      members -= 1;
      return true;
    },
    count: () => members,
    positions() {
      const found: number[] = [];
      for (let position = 0; position < size; position += 1) {
        if (has(position)) found.push(position);
      }
      return found;
    },
  };
}
