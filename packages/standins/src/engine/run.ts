import type {AttemptId, ModelName, VersionDigest} from '@hibiscusbeam/core';
import {tokenTexts} from './answer_text';

/** One line of a streamed answer. */
export type AnswerLine =
  | {
      readonly attempt: AttemptId;
      readonly kind: 'started';
      readonly versionDigest: VersionDigest;
    }
  | {
      readonly attempt: AttemptId;
      readonly kind: 'token';
      readonly sequence: number;
      readonly text: string;
    }
  | {
      readonly attempt: AttemptId;
      readonly kind: 'end';
      readonly count: number;
      readonly versionDigest: VersionDigest;
    };

/** Receives a run's lines; `close` ends the stream, complete or not. */
export interface AnswerSink {
  readonly line: (line: AnswerLine) => void;
  readonly close: () => void;
}

/** A request to an engine to generate an answer. */
export interface GenerationRequest {
  readonly attempt: AttemptId;
  readonly model: ModelName;
  readonly versionDigest: VersionDigest;
  readonly prompt: string;
  readonly maximumTokens: number;
  /** Lower numbers go first. */
  readonly priority: number;
}

/** Execution of one attempt. */
export interface Run {
  readonly generation: GenerationRequest;
  readonly state: () => 'queued' | 'running' | 'finished' | 'cancelled';
  readonly start: () => void;
  /** Produces the next token; ends the run after the last one. */
  readonly step: () => void;
  readonly cancel: () => void;
  /** Sends all past and future lines from token `from` on. */
  readonly follow: (sink: AnswerSink, from: number) => void;
}

/** Creates a queued run. */
export function createRun(generation: GenerationRequest): Run {
  const {attempt, versionDigest, maximumTokens: count} = generation;
  const text = tokenTexts(generation);
  const sinks = new Map<AnswerSink, number>();
  let state: ReturnType<Run['state']> = 'queued';
  let produced = 0;

  function send(sink: AnswerSink, sequence: number): void {
    sink.line({attempt, kind: 'token', sequence, text: text(sequence)});
  }

  function closeAll(): void {
    for (const sink of sinks.keys()) sink.close();
    sinks.clear();
  }

  function finish(): void {
    state = 'finished';
    for (const sink of sinks.keys()) {
      sink.line({attempt, kind: 'end', count, versionDigest});
    }
    closeAll();
  }

  return {
    generation,
    state: () => state,
    start: () => {
      state = 'running';
      for (const sink of sinks.keys()) {
        sink.line({attempt, kind: 'started', versionDigest});
      }
    },
    step: () => {
      for (const [sink, from] of sinks) {
        if (produced >= from) send(sink, produced);
      }
      produced += 1;
      if (produced >= count) finish();
    },
    cancel: () => {
      state = 'cancelled';
      closeAll();
    },
    follow: (sink, from) => {
      if (state !== 'queued') {
        sink.line({attempt, kind: 'started', versionDigest});
      }
      for (let sequence = from; sequence < produced; sequence += 1) {
        send(sink, sequence);
      }
      if (state === 'finished') {
        sink.line({attempt, kind: 'end', count, versionDigest});
      }
      if (state === 'finished' || state === 'cancelled') sink.close();
      else sinks.set(sink, from);
    },
  };
}
