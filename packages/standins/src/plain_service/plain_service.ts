import {hash32} from '@hibiscusbeam/core';
import type {Milliseconds} from '@hibiscusbeam/core';
import * as z from 'zod';
import {answerFaultsShape, createAnswerFaults} from '../shared/answer_faults';
import {createSystemClock} from '../shared/clock';
import {createFreezer} from '../shared/freezer';
import {
  createServer,
  cutConnection,
  listenOn,
  parseBody,
  sendError,
} from '../shared/server';
import type {StandIn, StandInOptions} from '../shared/server';

const DEFAULT_CALL_TIME: Milliseconds = 5;

const callBodySchema = z.looseObject({reference: z.string().min(1)});

const faultsSchema = z
  .strictObject({
    ...answerFaultsShape,
    callTime: z.number().nonnegative(),
    frozen: z.boolean(),
    failNext: z.int().nonnegative(),
  })
  .partial();

/** Options of a plain service; times in milliseconds. */
export interface PlainServiceOptions extends StandInOptions {
  readonly callTime?: Milliseconds;
}

/**
 * Starts a stand-in for a plain service. It counts how often the calls with each
 * reference took effect.
 */
export async function startPlainService(
  options: PlainServiceOptions,
): Promise<StandIn> {
  const clock = options.clock ?? createSystemClock();
  const freezer = createFreezer();
  const answerFaults = createAnswerFaults(clock);
  const runs = new Map<string, number>();
  let callTime = options.callTime ?? DEFAULT_CALL_TIME;
  let failNext = 0;
  const server = createServer();

  server.post<{Params: {operation: string}}>(
    '/calls/:operation',
    async (request, reply) => {
      await freezer.whenUnfrozen();
      const {operation} = request.params;
      const {reference} = parseBody(callBodySchema, request);
      const attempt = String(request.headers['x-attempt'] ?? '');
      await clock.wait(callTime);
      await freezer.whenUnfrozen();
      if (failNext > 0) {
        failNext -= 1;
        return sendError(reply, 500, 'failed', 'before it took effect');
      }
      runs.set(reference, (runs.get(reference) ?? 0) + 1);
      if (answerFaults.consumeDrop()) return cutConnection(request, reply);
      const receipt = hash32(`${operation}\0${reference}`);
      const result = {operation, reference, receipt};
      return answerFaults.applyFaults({attempt, result});
    },
  );

  server.get('/runs', (_request, reply) =>
    reply.send({runs: Object.fromEntries(runs)}),
  );

  server.post('/faults', (request, reply) => {
    const faults = parseBody(faultsSchema, request);
    answerFaults.set(faults);
    callTime = faults.callTime ?? callTime;
    failNext = faults.failNext ?? failNext;
    if (faults.frozen !== undefined) freezer.set(faults.frozen);
    return reply.send({});
  });

  return listenOn(server, options.listen);
}
