import type {
  Generation,
  Milliseconds,
  TargetName,
  WorkspaceName,
} from '@hibiscusbeam/core';
import {Agent, request} from 'undici';
import * as z from 'zod';

/** An older system without answer for so long counts as silent. */
const CALL_TIMEOUT: Milliseconds = 1_000;

const MAX_CONNECTIONS = 2;

/** What the older system says of itself, all of one moment. */
export interface OlderSystemState {
  /** The generation whose ownership it follows; 0 before it was told any. */
  readonly generation: Generation;
  /** What it still owns. */
  readonly targets: readonly TargetName[];
  readonly workspaces: readonly WorkspaceName[];
  /** Where it has orders or requests in progress. */
  readonly busyTargets: readonly TargetName[];
  readonly busyWorkspaces: readonly WorkspaceName[];
}

/** What the older system is told to own from a generation on. */
export interface Ownership {
  readonly generation: Generation;
  readonly targets: readonly TargetName[];
  readonly workspaces: readonly WorkspaceName[];
}

/** The older system as an entry reaches it. */
export interface OlderSystemClient {
  /** Undefined if it does not answer, or not in words that are understood. */
  readonly state: () => Promise<OlderSystemState | undefined>;
  /**
   * Tells it what it owns. It keeps what a higher generation has told it, so
   * this may come late and more than once.
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

/** A client of the older system at a base address. */
export function createOlderSystemClient(url: string): OlderSystemClient {
  const dispatcher = new Agent({connections: MAX_CONNECTIONS});
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
    const content = await response.body.text();
    return response.statusCode === 200 ? JSON.parse(content) : undefined;
  };

  return {
    state: async () => {
      const value = await send('GET', '/state').catch(() => undefined);
      return stateSchema.safeParse(value).data;
    },
    sendOwnership: async ownership => {
      // Whether it took effect shows in its state, which is asked for again.
      await send('PUT', '/ownership', ownership).catch(() => undefined);
    },
    close: () => dispatcher.destroy(),
  };
}
