import type {Milliseconds} from '@hibiscusbeam/core';
import {setTimeout as sleep} from 'node:timers/promises';
import {createEntryList, type EntryList} from './entry_list';
import {createEntryExchange, type EntryExchange} from './exchange';
import {
  readRefusal,
  readResult,
  readStream,
  type SendResult,
} from './response_reading';
import type {
  CallerClient,
  CallerClientOptions,
  CallerOutcome,
  GenerateCall,
  GeneratedAnswer,
  ServiceCall,
} from './types';

const DEFAULT_MAXIMUM_SENDS = 5;

/** The entry answers by the deadline; this is for the way back. */
const GRACE: Milliseconds = 500;

/** Pause before a send that follows a broken one. */
const PAUSE_AFTER_FAILURE: Milliseconds = 100;

/** One request, in the form that sends it to an entry. */
interface Sendable<Answer> {
  readonly path: string;
  readonly headers: (
    remaining: Milliseconds,
  ) => Readonly<Record<string, string>>;
  readonly body: (remaining: Milliseconds) => string;
  readonly read: (
    response: Extract<
      Awaited<ReturnType<EntryExchange['send']>>,
      {kind: 'response'}
    >,
  ) => Promise<SendResult<Answer>>;
  /** Whether it may be sent again although it may have run. */
  readonly repeatable: () => boolean;
}

/** Creates a client for one workspace. */
export function createCallerClient(options: CallerClientOptions): CallerClient {
  const now = options.now ?? (() => performance.now());
  const wait = options.wait ?? (duration => sleep(duration));
  const exchange = createEntryExchange(options.workspaceKey);
  const entries: EntryList = createEntryList({
    exchange,
    entries: options.entries,
    zone: options.zone,
    now,
    random: options.random ?? Math.random,
  });
  const maximumSends = options.maximumSends ?? DEFAULT_MAXIMUM_SENDS;

  /** Sends once; `unreachable` if the entry can't have seen the request. */
  async function sendOnce<Answer>(
    sendable: Sendable<Answer>,
    remaining: Milliseconds,
  ): Promise<SendResult<Answer> | {readonly kind: 'unreachable'}> {
    const entry = await entries.current();
    const response = await exchange.send({
      entry,
      method: 'POST',
      path: sendable.path,
      headers: sendable.headers(remaining),
      body: sendable.body(remaining),
      timeout: remaining + GRACE,
    });
    if (response.kind !== 'response') {
      entries.failed(entry);
      if (response.kind === 'notSent') return {kind: 'unreachable'};
      return {kind: 'outcomeUnknown', detail: response.detail};
    }
    if (response.status === 200) {
      const result = await sendable.read(response);
      // Its answer broke off: the next send goes to another entry.
      if (result.kind === 'outcomeUnknown') entries.failed(entry);
      return result;
    }
    const refusal = await readRefusal<Answer>(response);
    // An entry that is being stopped will not serve the next send either.
    const leaves = refusal.kind === 'notRun' && refusal.reason === 'stopping';
    if (leaves) entries.failed(entry);
    return refusal;
  }

  async function sendUntilEnd<Answer>(
    sendable: Sendable<Answer>,
    duration: Milliseconds,
  ): Promise<CallerOutcome<Answer>> {
    const deadline = now() + duration;
    let mayHaveRun: string | undefined;
    let last: CallerOutcome<Answer> = unreachable();
    for (let sends = 0; sends < maximumSends; sends += 1) {
      const remaining = deadline - now();
      if (remaining <= 0) break;
      const result = await sendOnce(sendable, remaining);
      if (result.kind === 'answered') return result;
      if (result.kind === 'rejected') {
        return mayHaveRun === undefined ? result : unknownAfter(mayHaveRun);
      }
      if (result.kind === 'unreachable') last = unreachable();
      else last = result;
      if (last.kind === 'outcomeUnknown') mayHaveRun = last.detail;
      if (isInProgress(last)) mayHaveRun = 'the call is in progress';
      if (mayHaveRun !== undefined && !sendable.repeatable()) break;
      const pause = pauseAfter(last);
      if (pause === undefined || now() + pause >= deadline) break;
      await wait(pause);
    }
    // "Not run" is the entry's word on one send. After an earlier send that
    // may have run it would be a lie about the call.
    return mayHaveRun === undefined ? last : unknownAfter(mayHaveRun);
  }

  return {
    generate: call => sendUntilEnd(generateSendable(call), call.deadline),
    call: call => sendUntilEnd(serviceSendable(call), call.deadline),
    entry: entries.current,
    close: exchange.close,
  };
}

function unreachable<Answer>(): CallerOutcome<Answer> {
  const retryAfter = PAUSE_AFTER_FAILURE;
  return {kind: 'notRun', reason: 'unreachable', retryAfter};
}

function unknownAfter<Answer>(detail: string): CallerOutcome<Answer> {
  return {kind: 'outcomeUnknown', detail};
}

function isInProgress(outcome: CallerOutcome<unknown>): boolean {
  return outcome.kind === 'notRun' && outcome.reason === 'inProgress';
}

/** How long to wait before the next send; undefined: it would not help. */
function pauseAfter(outcome: CallerOutcome<unknown>): Milliseconds | undefined {
  switch (outcome.kind) {
    case 'notRun':
      return outcome.reason === 'keyReused' ? undefined : outcome.retryAfter;
    case 'outcomeUnknown':
      return PAUSE_AFTER_FAILURE;
    case 'answered':
    case 'rejected':
      return undefined;
  }
}

function generateSendable(call: GenerateCall): Sendable<GeneratedAnswer> {
  const {model, prompt, maximumTokens, firstTokenWithin} = call;
  let begun = false;
  const onToken = (text: string): void => {
    begun = true;
    call.onToken?.(text);
  };
  return {
    path: `/v1/models/${encodeURIComponent(model)}/generate`,
    headers: () => ({}),
    body: remaining =>
      JSON.stringify({
        prompt,
        maximumTokens,
        deadline: durationOf(remaining),
        ...(firstTokenWithin === undefined
          ? {}
          : {firstTokenWithin: durationOf(firstTokenWithin)}),
      }),
    read: response => readStream(response, onToken),
    // Tokens already shown would be shown twice, or mixed with others.
    repeatable: () => !begun,
  };
}

function serviceSendable(call: ServiceCall): Sendable<unknown> {
  const {service, operation, idempotencyKey} = call;
  const body = JSON.stringify(call.body);
  const path = [service, 'calls', operation].map(encodeURIComponent).join('/');
  return {
    path: `/v1/services/${path}`,
    headers: remaining => ({
      'x-deadline': durationOf(remaining),
      ...(idempotencyKey === undefined
        ? {}
        : {'idempotency-key': idempotencyKey}),
    }),
    body: () => body,
    read: readResult,
    // Under one key the system runs the call once, however often it is sent.
    repeatable: () => idempotencyKey !== undefined,
  };
}

function durationOf(duration: Milliseconds): string {
  return `${Math.max(1, Math.floor(duration))}ms`;
}
