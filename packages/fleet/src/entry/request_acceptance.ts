import {
  areEmpty,
  chooseService,
  destinationsOf,
  type CallerAccess,
  type Confirmation,
  type Destinations,
  type Milliseconds,
  type MonotonicInstant,
  type PromptPartDigest,
  type ReadingUse,
  type RequestFingerprint,
  type Route,
  type RouteTable,
  type ServiceName,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {CallerHeader} from '../ports';
import type {ExpectedRun, ExpectedRuns} from './expected_run';
import type {HeldReadings} from './held_readings';
import type {OperatorFollower} from './operator_follower';
import type {PlannedStop} from './planned_stop';
import {notRun, type LocalAnswer} from './local_answers';
import type {RequestBody} from './request_body';
import {fingerprintOf, promptPartDigest} from './request_fingerprint';

/**
 * Decides whether the configuration was confirmed recently enough to trust its
 * keys.
 */
export interface KeyConfirmation {
  readonly confirmation: Confirmation;
  /**
   * Clock that also counts while the machine is suspended, for the age of
   * confirmations.
   */
  readonly machineClock: Clock;
  /** Maximum age of the confirmed configuration for requests with a key. */
  readonly maxConfirmationAge: Milliseconds;
}

/** Dependencies of the acceptance of requests. */
export interface RequestAcceptanceOptions extends KeyConfirmation {
  readonly operator: OperatorFollower;
  readonly readings: HeldReadings;
  /** Whether the site's quarantined requests have been read. */
  readonly isQuarantineKnown: () => boolean;
  readonly plannedStop: Pick<PlannedStop, 'phase' | 'mayAccept'>;
  readonly clock: Clock;
  readonly expectedRuns: ExpectedRuns;
}

/** Retry-After for callers of an entry that is leaving. */
const RETRY_ELSEWHERE_AFTER: Milliseconds = 20;

/**
 * Retry-After if the request can only be served after a change of the
 * configuration.
 */
const RETRY_RECONFIGURED_AFTER: Milliseconds = 1_000;

/** Age from which a decision by the header is made again. */
const MAX_DECISION_AGE: Milliseconds = 50;

/** A request that may be forwarded. */
export interface AcceptedRequest {
  readonly header: CallerHeader;
  readonly route: Route;
  readonly service: ServiceName;
  readonly access: Exclude<CallerAccess, {kind: 'denied'}>;
  /** Where it may be served. */
  readonly destinations: Destinations;
  /** Its expected cost for the target. */
  readonly run: ExpectedRun;
  readonly body: RequestBody;
  readonly fingerprint: RequestFingerprint;
  /** Parts of its prompt, in order. */
  readonly promptParts: readonly PromptPartDigest[];
  readonly arrivedAt: MonotonicInstant;
  readonly deadline: MonotonicInstant;
}

/** A request that may be forwarded once its body has been read. */
export interface AcceptedHeader extends Omit<
  AcceptedRequest,
  'body' | 'fingerprint' | 'promptParts'
> {
  readonly path: string;
  /** The configuration by which it was accepted. */
  readonly table: RouteTable;
}

/** The header of a request as it arrived. */
export interface ArrivedHeader {
  readonly header: CallerHeader;
  readonly path: string;
  readonly arrivedAt: MonotonicInstant;
}

/**
 * Decides by its header whether a request may be forwarded; otherwise returns
 * its answer.
 */
export function acceptHeader(
  options: RequestAcceptanceOptions,
  {header, path, arrivedAt}: ArrivedHeader,
): AcceptedHeader | LocalAnswer {
  if (options.plannedStop.phase() === 'closing') {
    return notRun('leaving', RETRY_ELSEWHERE_AFTER);
  }
  const table = options.operator.table();
  if (!options.isQuarantineKnown()) return notRun('starting', undefined);
  if (table === undefined) return notRun('noConfiguration', undefined);
  const use = options.readings.configuration();
  if (use === 'outdated') return notRun('staleConfiguration', undefined);
  const route = table.find(header.host, path);
  if (route === undefined) return deny(use, {status: 404, reason: 'no route'});
  const access = table.access(route, header.key);
  if (access.kind === 'denied') {
    return deny(use, {status: 401, reason: 'unknown key'});
  }
  // A process that is disconnected from the store or was frozen must not accept
  // a key that has since been revoked.
  if (access.kind === 'workspace' && !isKeyConfirmed(options)) {
    return notRun('staleConfiguration', undefined);
  }
  const service = chooseService(route, header.requestId ?? '');
  if (service === undefined) return notRun('noTarget', undefined);
  const timeout = Math.min(header.patience ?? Infinity, route.timeout);
  const deadline = arrivedAt + timeout;
  if (!options.plannedStop.mayAccept(deadline - options.clock())) {
    return notRun('leaving', RETRY_ELSEWHERE_AFTER);
  }
  const expectable = {header, table, service, route: route.name};
  const run = options.expectedRuns.expect(expectable);
  const workspace = access.kind === 'workspace' ? access.workspace : undefined;
  const destinations = destinationsOf(route, workspace);
  if (areEmpty(destinations)) {
    return notRun('noAllowedRegion', RETRY_RECONFIGURED_AFTER);
  }
  const arrived = {header, path, arrivedAt, deadline};
  return {...arrived, table, route, service, access, destinations, run};
}

/**
 * Decides whether a request whose body has been read may be forwarded: again if
 * that took long, since its key may have been revoked meanwhile.
 */
export function acceptRequest(
  options: RequestAcceptanceOptions,
  accepted: AcceptedHeader,
  body: RequestBody,
): AcceptedRequest | LocalAnswer {
  const isCurrent =
    options.operator.table() === accepted.table &&
    options.clock() - accepted.arrivedAt <= MAX_DECISION_AGE;
  const current = isCurrent ? accepted : acceptHeader(options, accepted);
  if ('status' in current) return current;
  const {access, header, path} = current;
  const workspace =
    access.kind === 'workspace' ? access.workspace.name : undefined;
  const blocks = body.blocks() ?? [];
  const fingerprint = fingerprintOf({workspace, path, blocks});
  const promptParts = header.promptParts.map(promptPartDigest);
  return {...current, body, fingerprint, promptParts};
}

/**
 * Where a request may be served by the routes of `table`; undefined if none
 * matches.
 */
export function destinationsIn(
  table: RouteTable,
  {header, path}: Pick<ArrivedHeader, 'header' | 'path'>,
): Destinations | undefined {
  const route = table.find(header.host, path);
  if (route === undefined) return undefined;
  const access = table.access(route, header.key);
  const isOfWorkspace = access.kind === 'workspace';
  return destinationsOf(route, isOfWorkspace ? access.workspace : undefined);
}

/**
 * Callers treat a denial as final, so it needs a configuration that can't have
 * been replaced; otherwise the caller is asked to retry.
 */
export function deny(use: ReadingUse, denial: LocalAnswer): LocalAnswer {
  return use === 'current' ? denial : notRun('staleConfiguration', undefined);
}

/**
 * Whether the configuration was confirmed recently enough to trust its keys.
 */
export function isKeyConfirmed(options: KeyConfirmation): boolean {
  return options.confirmation.isFresh(
    options.machineClock(),
    options.maxConfirmationAge,
  );
}
