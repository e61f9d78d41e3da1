import {createCaller, type CallerOutcome} from './caller';
import type {Site} from './site';
import {sleep} from './waiting';

/** What the callers of one kind send. */
export interface Load {
  readonly address: string;
  readonly path: string;
  readonly isStream: boolean;
  /** Callers that each send one request after the other. */
  readonly callers: number;
  /** Pause of a caller between two requests, in ms. */
  readonly pause: number;
  /** Deadline that the requests carry, in ms. */
  readonly deadline: number;
  /** How long a caller waits, in ms. */
  readonly leavesAfter: number;
}

/** A request and its outcome. */
export interface SentRequest {
  readonly requestId: string;
  readonly path: string;
  readonly sentAt: number;
  readonly took: number;
  readonly outcome: CallerOutcome;
}

/** Pause of a caller that found no entry, in ms. */
const RECONNECT_PAUSE = 200;

let lastRequest = 0;

/** Sends requests until `until`; returns all of them with their outcomes. */
export async function runLoad(
  site: Pick<Site, 'log'>,
  load: Load,
  until: number,
): Promise<readonly SentRequest[]> {
  const sent: SentRequest[] = [];
  const callers = Array.from({length: load.callers}, (_, index) =>
    runCaller(site, load, until, (index * load.pause) / load.callers, sent),
  );
  await Promise.all(callers);
  return sent;
}

async function runCaller(
  {log}: Pick<Site, 'log'>,
  load: Load,
  until: number,
  delay: number,
  sent: SentRequest[],
): Promise<void> {
  const {path, isStream, deadline, leavesAfter} = load;
  const caller = createCaller(load.address);
  await sleep(delay);
  while (performance.now() < until) {
    lastRequest += 1;
    const requestId = `r${lastRequest}`;
    const sentAt = performance.now();
    log(`send ${requestId} ${path}`);
    const outcome = await caller.send({
      requestId,
      path,
      isStream,
      deadline,
      leavesAfter,
    });
    const took = performance.now() - sentAt;
    sent.push({requestId, path, sentAt, took, outcome});
    log(`end ${requestId} after ${Math.round(took)} ms: ${describe(outcome)}`);
    await sleep(outcome.kind === 'notConnected' ? RECONNECT_PAUSE : load.pause);
  }
  caller.close();
}

/** A line about an outcome. */
export function describe(outcome: CallerOutcome): string {
  switch (outcome.kind) {
    case 'answered':
      return `${outcome.status}, complete, last event ${lastEventOf(outcome.text)}`;
    case 'cut':
      return 'cut in the answer';
    case 'noAnswer':
      return `closed without an answer (${outcome.detail})`;
    case 'notConnected':
    case 'left':
      return outcome.kind;
  }
}

/** Id of the last event of a stream; undefined if there is none. */
export function lastEventOf(text: string): number | undefined {
  const ids = [...text.matchAll(/^id: (\d+)$/gm)];
  const last = ids.at(-1)?.[1];
  return last === undefined ? undefined : Number(last);
}

/** Counts outcomes by their description without the numbers of events. */
export function tally(
  sent: readonly SentRequest[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {path, outcome} of sent) {
    const status = outcome.kind === 'answered' ? ` ${outcome.status}` : '';
    const key = `${path} ${outcome.kind}${status}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
