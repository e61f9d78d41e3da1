import {
  areEmpty,
  chooseService,
  destinationsOf,
  type CallerAccess,
  type Confirmation,
  type Destinations,
  type Milliseconds,
  type MonotonicInstant,
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
import {notRun, type LocalAnswer} from './local_answers';
import {fingerprintOf} from './request_fingerprint';

/** How far a planned stop has come. */
export type StoppingPhase = 'serving' | 'leaving' | 'closing';

/** How long a configuration counts without being confirmed. */
export interface KeyConfirmation {
  readonly confirmation: Confirmation;
  /** Counts suspensions of the machine; for the age of confirmations. */
  readonly machineClock: Clock;
  /** Longest age of the confirmed configuration for requests with a key. */
  readonly maxConfirmationAge: Milliseconds;
}

/** What the acceptance of requests goes by. */
export interface RequestAcceptanceOptions extends KeyConfirmation {
  readonly operator: OperatorFollower;
  readonly readings: HeldReadings;
  /** Whether the site's quarantined requests have been read. */
  readonly isQuarantineKnown: () => boolean;
  readonly stopping: () => StoppingPhase;
  readonly expectedRuns: ExpectedRuns;
}

/** Pause named to callers of an entry that leaves. */
const RETRY_ELSEWHERE_AFTER: Milliseconds = 20;

/** Pause named where only another configuration lets the request be served. */
const RETRY_RECONFIGURED_AFTER: Milliseconds = 1_000;

/** A request that may be forwarded. */
export interface AcceptedRequest {
  readonly header: CallerHeader;
  readonly route: Route;
  readonly service: ServiceName;
  readonly access: Exclude<CallerAccess, {kind: 'denied'}>;
  /** Where it may be served. */
  readonly destinations: Destinations;
  /** What it will probably ask of its target. */
  readonly run: ExpectedRun;
  readonly body: Buffer;
  readonly fingerprint: RequestFingerprint;
  readonly arrivedAt: MonotonicInstant;
  readonly deadline: MonotonicInstant;
}

/** A request as it came in. */
export interface ArrivedRequest {
  readonly header: CallerHeader;
  readonly path: string;
  readonly body: Buffer;
  readonly arrivedAt: MonotonicInstant;
}

/** Decides whether a request may be forwarded, or what it is answered. */
export function acceptRequest(
  options: RequestAcceptanceOptions,
  {header, path, body, arrivedAt}: ArrivedRequest,
): AcceptedRequest | LocalAnswer {
  if (options.stopping() === 'closing') {
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
  // A process that is cut off or was frozen must not serve a key that was taken
  // away meanwhile.
  if (access.kind === 'workspace' && !isKeyConfirmed(options)) {
    return notRun('staleConfiguration', undefined);
  }
  const service = chooseService(route, header.requestId ?? '');
  if (service === undefined) return notRun('noTarget', undefined);
  const timeout = Math.min(header.patience ?? Infinity, route.timeout);
  const deadline = arrivedAt + timeout;
  const expectable = {header, table, service, route: route.name};
  const run = options.expectedRuns.expect(expectable);
  const workspace = access.kind === 'workspace' ? access.workspace : undefined;
  const destinations = destinationsOf(route, workspace);
  if (areEmpty(destinations)) {
    return notRun('noAllowedRegion', RETRY_RECONFIGURED_AFTER);
  }
  const fingerprint = fingerprintOf({workspace: workspace?.name, path, body});
  const content = {header, body, fingerprint, arrivedAt, deadline};
  return {...content, route, service, access, destinations, run};
}

/** Where a request may be served by a table; undefined without such a route. */
export function destinationsIn(
  table: RouteTable,
  {header, path}: Pick<ArrivedRequest, 'header' | 'path'>,
): Destinations | undefined {
  const route = table.find(header.host, path);
  if (route === undefined) return undefined;
  const access = table.access(route, header.key);
  const isOfWorkspace = access.kind === 'workspace';
  return destinationsOf(route, isOfWorkspace ? access.workspace : undefined);
}

/**
 * A denial is final for its caller, so it needs a configuration that can't have
 * been replaced in force; otherwise the caller is told to come back.
 */
export function deny(use: ReadingUse, denial: LocalAnswer): LocalAnswer {
  return use === 'current' ? denial : notRun('staleConfiguration', undefined);
}

/** Whether the configuration was confirmed lately enough to go by its keys. */
export function isKeyConfirmed(options: KeyConfirmation): boolean {
  return options.confirmation.isFresh(
    options.machineClock(),
    options.maxConfirmationAge,
  );
}
