import * as z from 'zod';
import type {LogLine} from './log_lines';

/** How a request ended that the entry forwarded or tried to forward. */
export interface ForwardedEnd {
  readonly kind: 'forwarded';
  readonly result: string;
  readonly reason: string | undefined;
  readonly cause: string | undefined;
  /** Milliseconds from the request's arrival to its end. */
  readonly took: number;
  readonly lastEvent: string | undefined;
  /** One text per attempt with its start, target, outcome and end. */
  readonly attempts: readonly string[];
}

/** How an entry answered a request that it did not forward. */
export interface AnsweredHere {
  readonly kind: 'answeredHere';
  readonly status: number;
  readonly reason: string;
  /** Age of the confirmed configuration, in milliseconds. */
  readonly confirmationAge: number | undefined;
}

/** The end of a request as logged by its entry. */
export type RequestEnd = (ForwardedEnd | AnsweredHere) & {
  readonly request: string | undefined;
  readonly line: LogLine;
};

const forwardedSchema = z.object({
  request: z.string().optional(),
  result: z.string(),
  reason: z.string().optional(),
  cause: z.string().optional(),
  took: z.number(),
  lastEvent: z.string().optional(),
  attempts: z.array(z.string()).default([]),
});

const answeredSchema = z.object({
  request: z.string().optional(),
  status: z.number(),
  reason: z.string(),
  confirmationAge: z.number().optional(),
});

/** Parses a log line about a request's end; undefined for other lines. */
export function requestEndOf(line: LogLine): RequestEnd | undefined {
  switch (line.message) {
    case '[requests] request': {
      const parsed = forwardedSchema.safeParse(line.fields);
      if (!parsed.success) return undefined;
      const {reason, cause, lastEvent, request, ...rest} = parsed.data;
      const known = {request, reason, cause, lastEvent};
      return {kind: 'forwarded', ...rest, ...known, line};
    }
    case '[requests] answered here': {
      const parsed = answeredSchema.safeParse(line.fields);
      if (!parsed.success) return undefined;
      const {request, status, reason, confirmationAge} = parsed.data;
      const known = {request, status, reason, confirmationAge};
      return {kind: 'answeredHere', ...known, line};
    }
    default:
      return undefined;
  }
}

/** Whether the caller received no complete answer from a target. */
export function isFailure(end: RequestEnd): boolean {
  if (end.kind === 'answeredHere') return true;
  return end.result !== 'passOn' && end.result !== 'streamed';
}
