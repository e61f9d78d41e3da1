import type {Milliseconds} from '@hibiscusbeam/core';
import {setTimeout as sleep} from 'node:timers/promises';
import {createEntryList, type EntryList} from './entry_list';
import {createEntryExchange, type EntryExchange} from './exchange';
import {
  readRefusal,
  readResult,
  readStream,
  type AttemptResult,
} from './response_reading';
import type {
  CallerClient,
  CallerClientOptions,
  CallerOutcome,
  GenerateCall,
  GeneratedAnswer,
  ServiceCall,
} from './types';

const DEFAULT_MAX_ATTEMPTS = 5;

/** Extra time for the response, as the entry may answer at the deadline. */
const RESPONSE_GRACE: Milliseconds = 500;

/** Delay before the attempt that follows a failed one. */
const FAILURE_RETRY_DELAY: Milliseconds = 100;

/** A request in the form in which it is sent to an entry. */
interface PreparedRequest<Answer> {
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
  ) => Promise<AttemptResult<Answer>>;
  /** Whether the request may be retried although it may have run. */
  readonly repeatable: () => boolean;
}

/** Creates the client of one workspace. */
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
  const maximumSends = options.maximumSends ?? DEFAULT_MAX_ATTEMPTS;

  /**
   * Makes one attempt; `unreachable` if the entry can't have received the
   * request.
   */
  async function sendOnce<Answer>(
    prepared: PreparedRequest<Answer>,
    remaining: Milliseconds,
  ): Promise<AttemptResult<Answer> | {readonly kind: 'unreachable'}> {
    const entry = await entries.current();
    const response = await exchange.send({
      entry,
      method: 'POST',
      path: prepared.path,
      headers: prepared.headers(remaining),
      body: prepared.body(remaining),
      timeout: remaining + RESPONSE_GRACE,
    });
    if (response.kind !== 'response') {
      entries.markFailed(entry);
      if (response.kind === 'notSent') return {kind: 'unreachable'};
      return {kind: 'outcomeUnknown', detail: response.detail};
    }
    if (response.status === 200) {
      const result = await prepared.read(response);
      // The response was cut off, so the next attempt uses another entry.
      if (result.kind === 'outcomeUnknown') entries.markFailed(entry);
      return result;
    }
    const refusal = await readRefusal<Answer>(response);
    // An entry that is stopping would refuse the next attempt as well.
    const isStopping =
      refusal.kind === 'notRun' && refusal.reason === 'stopping';
    if (isStopping) entries.markFailed(entry);
    return refusal;
  }

  async function sendWithRetries<Answer>(
    prepared: PreparedRequest<Answer>,
    duration: Milliseconds,
  ): Promise<CallerOutcome<Answer>> {
    const deadline = now() + duration;
    let mayHaveRun: string | undefined;
    let last: CallerOutcome<Answer> = unreachable();
    for (let attempts = 0; attempts < maximumSends; attempts += 1) {
      const remaining = deadline - now();
      if (remaining <= 0) break;
      const result = await sendOnce(prepared, remaining);
      if (result.kind === 'answered') return result;
      if (result.kind === 'rejected') {
        return mayHaveRun === undefined ? result : unknownAfter(mayHaveRun);
      }
      if (result.kind === 'unreachable') last = unreachable();
      else last = result;
      if (last.kind === 'outcomeUnknown') mayHaveRun = last.detail;
      if (isInProgress(last)) mayHaveRun = 'the call is in progress';
      if (mayHaveRun !== undefined && !prepared.repeatable()) break;
      const retryDelay = retryDelayAfter(last);
      if (retryDelay === undefined || now() + retryDelay >= deadline) break;
      await wait(retryDelay);
    }
    // An entry reports `notRun` for one attempt only. If an earlier attempt may
    // have run, the outcome of the call is unknown.
    return mayHaveRun === undefined ? last : unknownAfter(mayHaveRun);
  }

  return {
    generate: call => sendWithRetries(prepareGenerateCall(call), call.deadline),
    call: call => sendWithRetries(prepareServiceCall(call), call.deadline),
    entry: entries.current,
    close: exchange.close,
  };
}

function unreachable<Answer>(): CallerOutcome<Answer> {
  const retryAfter = FAILURE_RETRY_DELAY;
  return {kind: 'notRun', reason: 'unreachable', retryAfter};
}

function unknownAfter<Answer>(detail: string): CallerOutcome<Answer> {
  return {kind: 'outcomeUnknown', detail};
}

function isInProgress(outcome: CallerOutcome<unknown>): boolean {
  return outcome.kind === 'notRun' && outcome.reason === 'inProgress';
}

/** Delay before the next attempt; undefined if a retry can't succeed. */
function retryDelayAfter(
  outcome: CallerOutcome<unknown>,
): Milliseconds | undefined {
  switch (outcome.kind) {
    case 'notRun':
      return outcome.reason === 'keyReused' ? undefined : outcome.retryAfter;
    case 'outcomeUnknown':
      return FAILURE_RETRY_DELAY;
    case 'answered':
    case 'rejected':
      return undefined;
  }
}

function prepareGenerateCall(
  call: GenerateCall,
): PreparedRequest<GeneratedAnswer> {
  const {model, prompt, maximumTokens, firstTokenWithin} = call;
  let hasTokens = false;
  const onToken = (text: string): void => {
    hasTokens = true;
    call.onToken?.(text);
  };
  return {
    path: `/v1/models/${encodeURIComponent(model)}/generate`,
    headers: () => ({}),
    body: remaining =>
      JSON.stringify({
        prompt,
        maximumTokens,
        deadline: formatDuration(remaining),
        ...(firstTokenWithin === undefined
          ? {}
          : {firstTokenWithin: formatDuration(firstTokenWithin)}),
      }),
    read: response => readStream(response, onToken),
    // After a retry, the caller would get tokens twice or from two answers.
    repeatable: () => !hasTokens,
  };
}

function prepareServiceCall(call: ServiceCall): PreparedRequest<unknown> {
  const {service, operation, idempotencyKey} = call;
  const body = JSON.stringify(call.body);
  const path = [service, 'calls', operation].map(encodeURIComponent).join('/');
  return {
    path: `/v1/services/${path}`,
    headers: remaining => ({
      'x-deadline': formatDuration(remaining),
      ...(idempotencyKey === undefined
        ? {}
        : {'idempotency-key': idempotencyKey}),
    }),
    body: () => body,
    read: readResult,
    // Calls with the same key run once, no matter how often they are sent.
    repeatable: () => idempotencyKey !== undefined,
  };
}

function formatDuration(duration: Milliseconds): string {
  return `${Math.max(1, Math.floor(duration))}ms`;
}
