import type {GenerationManagerBounds} from '../types';

/** Bounds that hold on sites of up to several hundred processes. */
export const DEFAULT_GENERATION_MANAGER_BOUNDS: GenerationManagerBounds = {
  // The table gives 2,000 reads a second to everybody; this is 1 percent.
  headReadsPerSecond: 20,
  // On a small site more polling would find nothing sooner than heartbeats do.
  minPollPeriod: 1_000,
  // With 6 peers each, a few rounds of announcements reach several hundred.
  fanOut: 6,
  // A pull within the site takes a few milliseconds; a frozen peer takes for
  // ever, and its pull must leave time for others within the 4 s to be in force.
  pullTimeout: 400,
};
