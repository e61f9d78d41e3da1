/** Number of positions at which two texts are compared. */
const SAMPLE_COUNT = 64;

/** Bytes compared at each position. */
const SAMPLE_BYTES = 32;

/** Maximum number of ranges in which similar texts differ. */
const MAX_CHANGED_RANGES = 6;

/** Maximum number of positions at which similar texts differ. */
const MAX_MISSING_SAMPLES = SAMPLE_COUNT / 2;

/**
 * How far a sample may have moved, in addition to the difference in length of
 * the texts.
 */
const MAX_SHIFT_BYTES = 16 * 1024;

/** Whether `text` differs from `base` in few ranges, estimated by samples. */
export function isSimilar(text: Buffer, base: Buffer): boolean {
  const shift = MAX_SHIFT_BYTES + Math.abs(text.length - base.length);
  const step = Math.max(1, Math.floor(text.length / SAMPLE_COUNT));
  let missing = 0;
  let changedRanges = 0;
  let wasFound = true;
  for (let at = 0; at + SAMPLE_BYTES <= text.length; at += step) {
    const sample = text.subarray(at, at + SAMPLE_BYTES);
    const isFound = base.includes(sample, Math.max(0, at - shift));
    if (!isFound) missing += 1;
    if (!isFound && wasFound) changedRanges += 1;
    if (changedRanges > MAX_CHANGED_RANGES || missing > MAX_MISSING_SAMPLES) {
      return false;
    }
    wasFound = isFound;
  }
  return true;
}
