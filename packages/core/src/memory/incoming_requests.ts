import type {Bytes, Milliseconds} from '../types';

/** A caller's request, as far as it has arrived. */
export interface IncomingRequest {
  /** Memory that it takes. */
  readonly held: Bytes;
  /** Whether more of it is expected. Complete requests are never refused. */
  readonly isArriving: boolean;
  /** How long nothing of it has arrived. */
  readonly stalledFor: Milliseconds;
}

/** From this stall on, a request counts as making no progress. */
const STALLED_AFTER: Milliseconds = 500;

/** Minimum share of the mean size for a stalled request to be refused. */
const MIN_REFUSED_SHARE = 0.5;

/** Requests of at most this size may use the whole bound. */
const SMALL_REQUEST: Bytes = 64 * 1024;

/** Share of the bound for requests that are larger. */
const LARGE_REQUESTS_SHARE = 0.75;

/** Whether requests of this size together may exceed a bound. */
export function mayExceedBound(total: Bytes, bound: Bytes): boolean {
  return total > bound * LARGE_REQUESTS_SHARE;
}

/**
 * Returns the arriving requests to refuse so that all others fit `bound`: first
 * the stalled ones, then the largest. A part of it is kept for small requests.
 */
export function selectRequestsToRefuse<Request extends IncomingRequest>(
  requests: readonly Request[],
  bound: Bytes,
): readonly Request[] {
  const large = requests.filter(({held}) => held > SMALL_REQUEST);
  const refusedLarge = selectFrom(large, bound * LARGE_REQUESTS_SHARE);
  const left = requests.filter(request => !refusedLarge.includes(request));
  return [...refusedLarge, ...selectFrom(left, bound)];
}

function selectFrom<Request extends IncomingRequest>(
  requests: readonly Request[],
  bound: Bytes,
): readonly Request[] {
  let total = requests.reduce((sum, {held}) => sum + held, 0);
  let arriving = requests.filter(({isArriving}) => isArriving);
  const refused: Request[] = [];
  while (total > bound) {
    const next = longestStalled(arriving) ?? largest(arriving);
    if (next === undefined) break;
    refused.push(next);
    arriving = arriving.filter(request => request !== next);
    total -= next.held;
  }
  return refused;
}

/**
 * Small requests are left out: refusing them frees little, and their callers
 * may only have a slow link.
 */
function longestStalled<Request extends IncomingRequest>(
  requests: readonly Request[],
): Request | undefined {
  const total = requests.reduce((sum, {held}) => sum + held, 0);
  const minHeld = (total / requests.length) * MIN_REFUSED_SHARE;
  return requests
    .filter(({stalledFor}) => stalledFor >= STALLED_AFTER)
    .filter(({held}) => held >= minHeld)
    .sort((one, other) => other.stalledFor - one.stalledFor)[0];
}

function largest<Request extends IncomingRequest>(
  requests: readonly Request[],
): Request | undefined {
  return [...requests].sort((one, other) => other.held - one.held)[0];
}

/**
 * Parts of at least this size are not counted: bodies in whole packets arrive in
 * larger ones.
 */
const MAX_FRAGMENT: Bytes = 512;

/** Whether a part of a body is so small that it mainly takes time. */
export function isFragment(part: Bytes): boolean {
  return part < MAX_FRAGMENT;
}

/** Fragments of bodies that were received in the last second. */
export interface ReceivedFragments {
  readonly ofThisBody: number;
  readonly ofOthers: number;
}

/** Bodies with fewer fragments in a second are never refused for them. */
const FEW_FRAGMENTS = 100;

/**
 * Fragments in a second that may be processed for several bodies. Each costs
 * some microseconds, however small it is.
 */
const MAX_FRAGMENTS = 20_000;

/**
 * Whether a body arrives in so many fragments that it has to be refused. One that
 * comes alone may be divided as its caller likes.
 */
export function isTooFragmented({
  ofThisBody,
  ofOthers,
}: ReceivedFragments): boolean {
  return ofThisBody >= FEW_FRAGMENTS && ofOthers >= MAX_FRAGMENTS;
}

/** For how long the connections have waited that wait longest. */
export interface WaitingConnections {
  /** Without any request so far; undefined if there are none. */
  readonly unused: Milliseconds | undefined;
  /** After a refusal, for the rest of the request; undefined if there are none. */
  readonly refused: Milliseconds | undefined;
  /** Between two requests; undefined if there are none. */
  readonly idle: Milliseconds | undefined;
}

/** A caller sends its first request within this time after connecting. */
const FIRST_REQUEST_WAIT: Milliseconds = 1_000;

/** Which connection to close for a new one; `none` if all carry requests. */
export function selectConnectionToClose({
  unused,
  refused,
  idle,
}: WaitingConnections): keyof WaitingConnections | 'none' {
  if (unused !== undefined && unused >= FIRST_REQUEST_WAIT) return 'unused';
  if (refused !== undefined) return 'refused';
  if (idle !== undefined) return 'idle';
  return unused === undefined ? 'none' : 'unused';
}
