/** Places at which two texts are compared. */
const SAMPLES = 64;

/** Bytes that are compared at each place. */
const SAMPLE_SIZE = 32;

/** Most stretches in which texts that are similar differ. */
const MOST_STRETCHES = 6;

/** Most places at which they differ. */
const MOST_MISSING = SAMPLES / 2;

/** How far a sample may have moved, in bytes, beside what the texts have grown. */
const LONGEST_SHIFT = 16 * 1024;

/** Whether `text` differs from `base` in few stretches, judged by samples. */
export function isSimilar(text: Buffer, base: Buffer): boolean {
  const shift = LONGEST_SHIFT + Math.abs(text.length - base.length);
  const step = Math.max(1, Math.floor(text.length / SAMPLES));
  let missing = 0;
  let stretches = 0;
  let wasFound = true;
  for (let at = 0; at + SAMPLE_SIZE <= text.length; at += step) {
    const sample = text.subarray(at, at + SAMPLE_SIZE);
    const isFound = base.includes(sample, Math.max(0, at - shift));
    if (!isFound) missing += 1;
    if (!isFound && wasFound) stretches += 1;
    if (stretches > MOST_STRETCHES || missing > MOST_MISSING) return false;
    wasFound = isFound;
  }
  return true;
}
