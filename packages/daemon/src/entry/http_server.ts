import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import type {Log} from '../logs';
import type {EntrySettings} from '../types/settings';
import {isWithinDepth} from '../utils/json_depth';
import {createAnswerWriter} from './answer_writer';
import type {CallerService} from './caller_service';
import {createCallerAccess, createOperatorAccess} from './http_access';
import {refusalResponse, type HttpRefusal} from './http_errors';
import {responseOf} from './outcome_mapping';
import {planRefusalResponse} from './plan_refusals';
import type {PlanService} from './plan_service_types';
import {
  parseDeadline,
  parseGenerate,
  parseIdempotencyKey,
} from './request_parsing';

/** Maximum number of open connections. */
const MAX_CONNECTIONS = 4_096;

/** Time in milliseconds in which a whole request must arrive. */
const REQUEST_TIMEOUT = 30_000;

/** The address of an entry for callers, and its location. */
export interface EntryAddress {
  readonly address: string;
  readonly zone: string;
  readonly region: string;
}

/** Options of {@link createHttpServer}. */
export interface HttpServerOptions {
  readonly settings: EntrySettings;
  readonly callers: CallerService;
  readonly plans: PlanService;
  readonly entries: () => readonly EntryAddress[];
  readonly status: () => unknown;
  readonly log: Log;
  readonly onRefused: (reason: string) => void;
}

/** Creates the HTTP server for callers and operators. */
export function createHttpServer(options: HttpServerOptions): FastifyInstance {
  const {settings, log} = options;
  const server = fastify({
    bodyLimit: settings.limits.requestBody,
    requestTimeout: REQUEST_TIMEOUT,
    forceCloseConnections: false,
    logger: false,
  });
  server.server.maxConnections = MAX_CONNECTIONS;
  addBodyParsers(server, settings.limits.jsonDepth);
  server.setErrorHandler((error, _request, reply) => {
    const {statusCode, code, message} = error as Error & {
      statusCode?: number;
      code?: string;
    };
    const status = statusCode ?? 500;
    if (status >= 500) log.error('a request failed', {error});
    else options.onRefused(code ?? 'badRequest');
    // If the connection were closed with part of the body unread, it would be
    // reset while the caller still writes, and the caller would see no answer.
    // On an open connection, the rest of the body is read and discarded, for up
    // to the request timeout.
    if (status < 500) reply.removeHeader('connection');
    void reply
      .status(status)
      .send({error: code ?? 'badRequest', detail: message});
  });
  server.setNotFoundHandler((request, reply) =>
    refuse(options, request, reply, {
      kind: 'unknown',
      detail: `${request.method} ${request.url.slice(0, 200)} is not served`,
    }),
  );
  addCallerRoutes(server, options);
  addOperatorRoutes(server, options);
  return server;
}

/** Adds parsers that read bodies as text first, to check the JSON depth. */
function addBodyParsers(server: FastifyInstance, depth: number): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    'application/json',
    {parseAs: 'string'},
    (_request, body, done) => {
      const text = body.toString();
      if (!isWithinDepth(text, depth)) {
        const fault = new Error(`nest JSON at most ${depth} deep`);
        return done(Object.assign(fault, {statusCode: 400, code: 'tooDeep'}));
      }
      try {
        done(null, {text, value: JSON.parse(text) as unknown});
      } catch {
        const fault = new Error('the body is not JSON');
        done(Object.assign(fault, {statusCode: 400, code: 'notJson'}));
      }
    },
  );
  server.addContentTypeParser(
    ['application/yaml', 'text/yaml'],
    {parseAs: 'string'},
    (_request, body, done) => done(null, {text: body.toString()}),
  );
}

const NOT_JSON: HttpRefusal = {
  kind: 'badField',
  field: 'body',
  detail: 'send the call as JSON',
};

interface ParsedBody {
  readonly text: string;
  readonly value: unknown;
}

function bodyOf(request: FastifyRequest): ParsedBody {
  const body = request.body as ParsedBody | undefined;
  return body ?? {text: '', value: undefined};
}

function refuse(
  options: HttpServerOptions,
  request: FastifyRequest,
  reply: FastifyReply,
  refusal: HttpRefusal,
): FastifyReply {
  options.onRefused(refusal.kind);
  if (refusal.kind === 'noKey' || refusal.kind === 'wrongKey') {
    options.log.warn(`refused ${request.method} ${request.routeOptions.url}`, {
      reason: refusal.kind,
      from: request.ip,
    });
  }
  const {status, body} = refusalResponse(refusal);
  return reply.status(status).send(body);
}

function headerOf(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function addCallerRoutes(
  server: FastifyInstance,
  options: HttpServerOptions,
): void {
  const {settings, callers} = options;
  const access = createCallerAccess(settings, (request, reply, refusal) =>
    refuse(options, request, reply, refusal),
  );
  const route = {onRequest: access.check};

  server.get('/v1/entries', route, (_request, reply) =>
    reply.send({
      entries: options.entries(),
      keepForMilliseconds: settings.addressesKeptFor,
    }),
  );

  server.post<{Params: {model: string}}>(
    '/v1/models/:model/generate',
    route,
    async (request, reply) => {
      const body = parseGenerate(
        bodyOf(request).value,
        settings.limits.longestDeadline,
      );
      if (body.err) return refuse(options, request, reply, body.val);
      const callerGone = new AbortController();
      reply.hijack();
      reply.raw.once('close', () => callerGone.abort());
      await callers.generate(
        access.nameOf(request),
        request.params.model,
        body.val,
        createAnswerWriter(reply.raw),
        callerGone.signal,
      );
      return reply;
    },
  );

  server.post<{Params: {service: string; operation: string}}>(
    '/v1/services/:service/calls/:operation',
    route,
    async (request, reply) => {
      const {text, value} = bodyOf(request);
      // Without this, a call whose body is not JSON would be claimed under its
      // key and refused by the service, and its outcome would stay unknown.
      if (value === undefined) {
        return refuse(options, request, reply, NOT_JSON);
      }
      const {service, operation} = request.params;
      const deadline = parseDeadline(
        headerOf(request, 'x-deadline'),
        settings.limits.longestDeadline,
      );
      if (deadline.err) return refuse(options, request, reply, deadline.val);
      const keyHeader = headerOf(request, 'idempotency-key');
      const needsKey = callers.needsKey(service, operation);
      const key = needsKey ? parseIdempotencyKey(keyHeader) : undefined;
      if (key?.err === true) return refuse(options, request, reply, key.val);
      const result = await callers.call(access.nameOf(request), {
        service,
        operation,
        content: Buffer.from(text),
        idempotencyKey: key?.val,
        deadline: deadline.val,
      });
      if (result.outcome.kind === 'answered') {
        return reply
          .type('application/json')
          .send(Buffer.from(result.content ?? []));
      }
      const {status, headers, body} = responseOf(result.outcome);
      return reply.status(status).headers(headers).send(body);
    },
  );
}

interface PlanRoute {
  readonly Params: {readonly planId: string};
}

function addOperatorRoutes(
  server: FastifyInstance,
  options: HttpServerOptions,
): void {
  const {settings, plans} = options;
  const access = createOperatorAccess(settings, (request, reply, refusal) =>
    refuse(options, request, reply, refusal),
  );
  const route = {onRequest: access.check};

  /** Passes the operator's name to the handler of a route. */
  const operatorRoute =
    <Route extends {Params?: unknown}>(
      handle: (
        operator: string,
        request: FastifyRequest<Route>,
        reply: FastifyReply,
      ) => Promise<unknown>,
    ) =>
    (request: FastifyRequest<Route>, reply: FastifyReply) =>
      handle(access.nameOf(request as FastifyRequest), request, reply);

  const send = <Value, Fault extends Parameters<typeof planRefusalResponse>[0]>(
    reply: FastifyReply,
    result:
      | {readonly ok: true; readonly err: false; readonly val: Value}
      | {readonly ok: false; readonly err: true; readonly val: Fault},
    show: (value: Value) => unknown,
  ) => {
    if (result.ok) return reply.send(show(result.val));
    const {status, headers, body} = planRefusalResponse(result.val);
    return reply
      .status(status)
      .headers(headers ?? {})
      .send(body);
  };

  server.post(
    '/v1/intents/plan',
    route,
    operatorRoute(async (operator, request, reply) => {
      const {text} = bodyOf(request);
      const planned = await plans.plan(text, operator);
      return send(reply, planned, value => value);
    }),
  );
  server.get(
    '/v1/plans',
    route,
    operatorRoute(async (_operator, _request, reply) =>
      send(reply, await plans.list(), stored => ({
        plans: stored.map(({plan, state}) => ({
          planId: plan.planId,
          summary: plan.summary,
          operator: plan.operator,
          plannedAt: plan.plannedAt,
          base: plan.base,
          state,
        })),
      })),
    ),
  );
  server.get<PlanRoute>(
    '/v1/plans/:planId',
    route,
    operatorRoute<PlanRoute>(async (_operator, request, reply) =>
      send(reply, await plans.show(request.params.planId), value => value),
    ),
  );
  server.post<PlanRoute>(
    '/v1/plans/:planId/confirm',
    route,
    operatorRoute<PlanRoute>(async (operator, request, reply) => {
      const {planId} = request.params;
      options.log.info(`operator ${operator} confirms plan ${planId}`);
      return send(reply, await plans.confirm(planId), value => value);
    }),
  );
  server.delete<PlanRoute>(
    '/v1/plans/:planId',
    route,
    operatorRoute<PlanRoute>(async (operator, request, reply) => {
      const {planId} = request.params;
      options.log.info(`operator ${operator} abandons plan ${planId}`);
      const abandoned = await plans.abandon(planId);
      return send(reply, abandoned, value => ({planId: value}));
    }),
  );
  server.get(
    '/v1/status',
    route,
    operatorRoute((_operator, _request, reply) =>
      Promise.resolve(reply.send(options.status())),
    ),
  );
}
