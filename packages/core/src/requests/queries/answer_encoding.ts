const LENGTH_PREFIX_BYTES = 4;

/** Encodes all frames into one array, each prefixed with its length. */
export function encodeFrames(frames: readonly Uint8Array[]): Uint8Array {
  const size = frames.reduce(
    (sum, frame) => sum + LENGTH_PREFIX_BYTES + frame.length,
    0,
  );
  const encoded = new Uint8Array(size);
  const view = new DataView(encoded.buffer);
  let offset = 0;
  for (const frame of frames) {
    view.setUint32(offset, frame.length);
    encoded.set(frame, offset + LENGTH_PREFIX_BYTES);
    offset += LENGTH_PREFIX_BYTES + frame.length;
  }
  return encoded;
}

/**
 * Decodes the result of {@link encodeFrames}; `undefined` if it is truncated.
 */
export function decodeFrames(
  encoded: Uint8Array,
): readonly Uint8Array[] | undefined {
  const view = new DataView(
    encoded.buffer,
    encoded.byteOffset,
    encoded.byteLength,
  );
  const frames: Uint8Array[] = [];
  let offset = 0;
  while (offset < encoded.length) {
    if (offset + LENGTH_PREFIX_BYTES > encoded.length) return undefined;
    const start = offset + LENGTH_PREFIX_BYTES;
    const end = start + view.getUint32(offset);
    if (end > encoded.length) return undefined;
    frames.push(encoded.slice(start, end));
    offset = end;
  }
  return frames;
}

/** Encodes bytes as base64. */
export function toBase64(bytes: Uint8Array): string {
  let text = '';
  for (const byte of bytes) text += String.fromCharCode(byte);
  return btoa(text);
}

/** Decodes base64; `undefined` if the text is not valid. */
export function fromBase64(base64: string): Uint8Array | undefined {
  try {
    return Uint8Array.from(atob(base64), character => character.charCodeAt(0));
  } catch {
    return undefined;
  }
}

/** Whether two byte strings are equal. */
export function equalBytes(left: Uint8Array, right: Uint8Array): boolean {
  if (left.length !== right.length) return false;
  return left.every((byte, position) => byte === right[position]);
}
