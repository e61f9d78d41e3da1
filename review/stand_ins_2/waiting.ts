/** Waits for a number of milliseconds. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise(done => setTimeout(done, milliseconds));
}
