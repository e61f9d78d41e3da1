import type {Milliseconds, ServiceName} from '../types';

/** Weight of the newest request in the mean. */
const SAMPLE_WEIGHT = 0.05;

/** Tracks which prompts of a service are short. */
export interface PromptTimes {
  /** Records the time in which a target reads a prompt that is sent. */
  readonly record: (service: ServiceName, promptTime: Milliseconds) => void;
  /** Whether a prompt is no longer than the mean of recent ones. */
  readonly isShort: (service: ServiceName, promptTime: Milliseconds) => boolean;
}

/** Creates an empty tracker. */
export function createPromptTimes(): PromptTimes {
  const means = new Map<ServiceName, Milliseconds>();

  return {
    record: (service, promptTime) => {
      const mean = means.get(service) ?? promptTime;
      means.set(service, mean + (promptTime - mean) * SAMPLE_WEIGHT);
    },
    isShort: (service, promptTime) =>
      promptTime <= (means.get(service) ?? Infinity),
  };
}
