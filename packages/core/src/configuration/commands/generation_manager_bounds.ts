import type {GenerationManagerBounds} from '../types';

/** Defaults for sites of up to several hundred processes. */
export const DEFAULT_GENERATION_MANAGER_BOUNDS: GenerationManagerBounds = {
  // 1% of the 2,000 reads per second that the table allows all its users
  // together.
  headReadsPerSecond: 20,
  // On a small site, heartbeats report a change sooner than more frequent
  // polling would.
  minPollPeriod: 1_000,
  // With 6 peers each, a few rounds of announcements reach several hundred
  // processes.
  fanOut: 6,
  // A pull within the site takes a few milliseconds. A frozen peer never
  // answers, and time for pulls from other peers must remain within the 4 s in
  // which a configuration must be in force.
  pullTimeout: 400,
};
