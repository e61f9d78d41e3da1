import {
  readWholeBody,
  type Bytes,
  type Generation,
  type Milliseconds,
  type TargetName,
  type WorkspaceName,
} from '@hibiscusbeam/core';
import {createCheckedAgent} from '@hibiscusbeam/platform';
import {request} from 'undici';
import * as z from 'zod';
import {monotonicClock} from '../runtime/clock';

/** Call timeout, after which the older system counts as silent. */
const CALL_TIMEOUT: Milliseconds = 1_000;

const MAX_CONNECTIONS = 2;

/** Maximum size of an answer. */
const MAX_ANSWER: Bytes = 16 * 1024 * 1024;

/** State reported by the older system, all as of the same time. */
export interface OlderSystemState {
  /** The generation whose ownership it follows; 0 before it received any. */
  readonly generation: Generation;
  /** What it still owns. */
  readonly targets: readonly TargetName[];
  readonly workspaces: readonly WorkspaceName[];
  /** Where it has orders or requests in progress. */
  readonly busyTargets: readonly TargetName[];
  readonly busyWorkspaces: readonly WorkspaceName[];
}

/** What the older system is to own from a generation on. */
export interface Ownership {
  readonly generation: Generation;
  readonly targets: readonly TargetName[];
  readonly workspaces: readonly WorkspaceName[];
}

/** An entry's client of the older system. */
export interface OlderSystemClient {
  /** Undefined if it does not answer or its answer is malformed. */
  readonly state: () => Promise<OlderSystemState | undefined>;
  /**
   * Sends it what it owns. It keeps the ownership of the highest generation it
   * received, so this may arrive late and more than once.
   */
  readonly sendOwnership: (ownership: Ownership) => Promise<void>;
  readonly close: () => Promise<void>;
}

const namesSchema = z.array(z.string());

const stateSchema = z.object({
  generation: z.int().min(0),
  targets: namesSchema,
  workspaces: namesSchema,
  busyTargets: namesSchema,
  busyWorkspaces: namesSchema,
});

/** Creates a client of the older system at a base address. */
export function createOlderSystemClient(url: string): OlderSystemClient {
  const dispatcher = createCheckedAgent({connections: MAX_CONNECTIONS});
  const base = url.replace(/\/$/, '');

  const send = async (
    method: 'GET' | 'PUT',
    path: string,
    body?: unknown,
  ): Promise<unknown> => {
    const response = await request(`${base}${path}`, {
      dispatcher,
      method,
      signal: AbortSignal.timeout(CALL_TIMEOUT),
      ...(body === undefined
        ? {}
        : {
            headers: {'content-type': 'application/json'},
            body: JSON.stringify(body),
          }),
    });
    const content = await readWholeBody(response.body, {
      maxBytes: MAX_ANSWER,
      clock: monotonicClock,
    });
    return response.statusCode === 200
      ? JSON.parse(content.toString('utf8'))
      : undefined;
  };

  return {
    state: async () => {
      const value = await send('GET', '/state').catch(() => undefined);
      return stateSchema.safeParse(value).data;
    },
    sendOwnership: async ownership => {
      // Errors are ignored: whether it took effect shows in the state, which is
      // read again.
      await send('PUT', '/ownership', ownership).catch(() => undefined);
    },
    close: () => dispatcher.destroy(),
  };
}
