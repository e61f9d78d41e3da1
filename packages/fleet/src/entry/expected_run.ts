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

/** What a request will probably ask of an engine; all 0 for plain targets. */
export interface ExpectedRun {
  /** Time in which its prompt is read. */
  readonly promptTime: Milliseconds;
  /** Time in which its answer is written. */
  readonly writingTime: Milliseconds;
  /** Tokens of its answer, by the caller's hint. */
  readonly answerTokens: number;
  /** Tokens that it holds at its end. */
  readonly tokens: number;
  /** What it asks of an engine's memory; undefined where none is named. */
  readonly memory?: MemoryNeed;
  /** How fast the engines of its service work; undefined for plain targets. */
  readonly profile: EngineProfile | undefined;
}

/** A request whose run is to be worked out. */
export interface ExpectedRunInput {
  readonly header: CallerHeader;
  readonly table: RouteTable;
  readonly service: ServiceName;
  /** Name of its route. */
  readonly route: string;
}

/** Works out the runs of requests. */
export interface ExpectedRuns {
  readonly expect: (request: ExpectedRunInput) => ExpectedRun;
  /** Learns from an answer that took so long to write, from its first event. */
  readonly recordWritten: (
    request: ExpectedRunInput,
    took: Milliseconds,
  ) => void;
}

/** Part of an engine that a request claims at most on a route not seen yet. */
const MAX_UNSEEN_SHARE = 0.25;

/**
 * Creates the expectations. Answers don't say how many tokens they have; in the
 * time that one took, an engine wrote one in each step at most.
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

/** A number that a caller names; undefined if it is none. */
function countOf(named: number | undefined): number | undefined {
  return named !== undefined && Number.isFinite(named) && named >= 0
    ? named
    : undefined;
}
