import {
  promptTime,
  writingTime,
  type EngineProfile,
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
  /** How fast the engines of its service work; undefined for plain targets. */
  readonly profile: EngineProfile | undefined;
}

/** Works out a request's run from its header and the engines' profile. */
export function expectRun(
  header: CallerHeader,
  table: RouteTable,
  service: ServiceName,
): ExpectedRun {
  const described = table.service(service);
  if (described?.kind !== 'modelEngine') {
    return {
      promptTime: 0,
      writingTime: 0,
      tokens: 0,
      answerTokens: 0,
      profile: undefined,
    };
  }
  const {profile} = described;
  const answer = header.expectedOutputTokens ?? header.mostOutputTokens ?? 0;
  return {
    promptTime: promptTime(profile, header.promptTokens ?? 0),
    writingTime: writingTime(profile, answer),
    tokens: (header.promptTokens ?? 0) + answer,
    answerTokens: header.expectedOutputTokens ?? 0,
    profile,
  };
}
