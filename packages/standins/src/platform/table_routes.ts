import type {Milliseconds} from '@hibiscusbeam/core';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {Clock} from '../shared/clock';
import {createRateLimit} from '../shared/rate_limit';
import type {RateLimit} from '../shared/rate_limit';
import {cutConnection, parseBody, sendError} from '../shared/server';
import {commitBodySchema, readBodySchema, scanBodySchema} from './schemas';
import type {CommitBody, TableFaults} from './schemas';
import {createTable} from './table';

/** Max. number of rows that one transaction may name. */
const MAX_TRANSACTION_ROWS = 100;

/**
 * The platform allows several hundred writes and about 2,000 reads a second, as
 * of today.
 */
const WRITES_PER_SECOND = 400;
const READS_PER_SECOND = 2_000;

/** Round trip to a service in the same region. */
const LATENCY: Milliseconds = 2;

/** Calls that the table answered and refused so far. */
export interface TableCounters {
  readonly reads: number;
  readonly writes: number;
  readonly refused: number;
}

/** Controls of the table service. */
export interface TableControls {
  readonly setFaults: (faults: TableFaults) => void;
  readonly counters: () => TableCounters;
}

function countRows({transaction}: CommitBody): number {
  const {conditions, writes} = transaction;
  return new Set([...conditions, ...writes].map(({key}) => key)).size;
}

/** Adds the table service's routes to `server`. */
export function addTableRoutes(
  server: FastifyInstance,
  clock: Clock,
): TableControls {
  const table = createTable();
  const writeLimit = createRateLimit(clock, WRITES_PER_SECOND);
  const readLimit = createRateLimit(clock, READS_PER_SECOND);
  const counters = {reads: 0, writes: 0, refused: 0};
  let latency = LATENCY;
  let outage = false;
  let loseReplies = 0;

  function refuseOverLimit(limit: RateLimit, reply: FastifyReply) {
    if (outage) {
      counters.refused += 1;
      return sendError(reply, 503, 'unavailable', 'outage');
    }
    const retryAfter = limit.take();
    if (retryAfter === 0) return undefined;
    counters.refused += 1;
    void reply.header('retry-after-ms', String(retryAfter));
    return sendError(reply, 429, 'rateLimited');
  }

  async function waitHalfLatency(): Promise<void> {
    if (latency > 0) await clock.wait(latency / 2);
  }

  /**
   * Runs `call` between the two halves of the latency, unless it is refused.
   */
  async function serve<Answer>(
    limit: RateLimit,
    reply: FastifyReply,
    call: () => Answer,
  ): Promise<Answer | FastifyReply> {
    await waitHalfLatency();
    const refused = refuseOverLimit(limit, reply);
    const answer = refused ?? call();
    await waitHalfLatency();
    return answer;
  }

  server.post('/table/read', (request, reply) => {
    const {key} = parseBody(readBodySchema, request);
    return serve(readLimit, reply, () => {
      counters.reads += 1;
      return {row: table.read(key) ?? null};
    });
  });

  server.post('/table/scan', (request, reply) => {
    const {prefix, limit} = parseBody(scanBodySchema, request);
    return serve(readLimit, reply, () => {
      counters.reads += 1;
      return {rows: table.scan(prefix, limit)};
    });
  });

  function commit(
    body: CommitBody,
    request: FastifyRequest,
    reply: FastifyReply,
  ) {
    counters.writes += 1;
    const outcome = table.commit(body.transaction);
    if (loseReplies === 0) return {outcome};
    loseReplies -= 1;
    return cutConnection(request, reply);
  }

  server.post('/table/commit', (request, reply) => {
    const body = parseBody(commitBodySchema, request);
    if (countRows(body) > MAX_TRANSACTION_ROWS) {
      return sendError(reply, 400, 'transactionTooLarge');
    }
    return serve(writeLimit, reply, () => commit(body, request, reply));
  });

  return {
    setFaults: faults => {
      latency = faults.latency ?? latency;
      outage = faults.outage ?? outage;
      loseReplies = faults.loseReplies ?? loseReplies;
      if (faults.writesPerSecond !== undefined) {
        writeLimit.setRate(faults.writesPerSecond);
      }
      if (faults.readsPerSecond !== undefined) {
        readLimit.setRate(faults.readsPerSecond);
      }
    },
    counters: () => ({...counters}),
  };
}
