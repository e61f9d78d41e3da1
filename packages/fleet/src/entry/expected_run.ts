import {
  createRequestSizes,
  outputToExpect,
  outputToReserve,
  promptTime,
  generationTime,
  type EngineProfile,
  type MemoryNeed,
  type Milliseconds,
  type RouteTable,
  type ServiceName,
} from '@hibiscusbeam/core';
import type {CallerHeader} from '../ports';

/** Expected cost of a request for an engine; all 0 for plain targets. */
export interface ExpectedRun {
  /** Time to read the prompt. */
  readonly promptTime: Milliseconds;
  /** Time to write the answer. */
  readonly writingTime: Milliseconds;
  /** Tokens of the answer, from the caller's hint. */
  readonly answerTokens: number;
  /** Tokens that it occupies at its end. */
  readonly tokens: number;
  /** Engine memory that it needs; undefined if the profile contains none. */
  readonly memory?: MemoryNeed;
  /** Speed of the engines of its service; undefined for plain targets. */
  readonly profile: EngineProfile | undefined;
}

/** A request whose cost is to be estimated. */
export interface ExpectedRunInput {
  readonly header: CallerHeader;
  readonly table: RouteTable;
  readonly service: ServiceName;
  /** Route name. */
  readonly route: string;
}

/** Estimates the cost of requests. */
export interface ExpectedRuns {
  readonly expect: (request: ExpectedRunInput) => ExpectedRun;
  /** Learns from a streamed answer; `took` counts from its first event. */
  readonly recordWritten: (
    request: ExpectedRunInput,
    took: Milliseconds,
  ) => void;
}

/**
 * Share of an engine's memory that a request reserves at most on a route
 * without known answers.
 */
const MAX_UNSEEN_SHARE = 0.25;

/**
 * Creates the estimator. Answers don't contain their token count, but in the
 * time that one took, an engine wrote at most one token in each step.
 */
export function createExpectedRuns(): ExpectedRuns {
  const written = createRequestSizes();

  function expect({header, table, service, route}: ExpectedRunInput) {
    const profile = profileOf(table, service);
    if (profile === undefined) {
      return {
        promptTime: 0,
        writingTime: 0,
        tokens: 0,
        answerTokens: 0,
        memory: undefined,
        profile: undefined,
      };
    }
    const claims = {
      hint: countOf(header.expectedOutputTokens),
      most: countOf(header.mostOutputTokens),
      seen: written.seen(route),
    };
    const prompt = countOf(header.promptTokens) ?? 0;
    const answer = outputToExpect(claims);
    const {memoryTokens} = profile;
    return {
      promptTime: promptTime(profile, prompt),
      writingTime: generationTime(profile, answer),
      tokens: prompt + answer,
      answerTokens: claims.hint ?? 0,
      profile,
      memory:
        memoryTokens === undefined
          ? undefined
          : memoryNeed(
              memoryTokens,
              prompt,
              outputToReserve(claims, memoryTokens * MAX_UNSEEN_SHARE),
            ),
    };
  }

  return {
    expect,
    recordWritten: ({header, table, service, route}, took) => {
      const stepTime = profileOf(table, service)?.stepTime ?? 0;
      if (stepTime <= 0) return;
      const most = countOf(header.mostOutputTokens) ?? Infinity;
      written.record(route, Math.min(took / stepTime, most));
    },
  };
}

function memoryNeed(
  engineTokens: number,
  prompt: number,
  output: number,
): MemoryNeed {
  return {engineTokens, tokens: prompt + output, output};
}

function profileOf(
  table: RouteTable,
  service: ServiceName,
): EngineProfile | undefined {
  const described = table.service(service);
  return described?.kind === 'modelEngine' ? described.profile : undefined;
}

/** A count from the caller's header; undefined if it isn't a valid one. */
function countOf(named: number | undefined): number | undefined {
  return named !== undefined && Number.isFinite(named) && named >= 0
    ? named
    : undefined;
}
