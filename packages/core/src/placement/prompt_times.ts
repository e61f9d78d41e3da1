import type {Milliseconds, ServiceName} from '../types';

/** Part of the mean that the newest request makes up. */
const SAMPLE_WEIGHT = 0.05;

/** Knows which prompts of a service are short ones. */
export interface PromptTimes {
  /** Takes the time in which a target reads a prompt that is sent. */
  readonly record: (service: ServiceName, promptTime: Milliseconds) => void;
  /** Whether a prompt is no longer than the mean of those sent lately. */
  readonly isShort: (service: ServiceName, promptTime: Milliseconds) => boolean;
}

/** Creates the memory of prompts. */
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
