import type {FastifyReply, FastifyRequest} from 'fastify';
import type {WorkspaceName} from '@hibiscusbeam/core';
import {bearerKey, findKeyName} from '../runtime/keys';
import type {EntrySettings, HashedKey} from '../types/settings';
import type {HttpRefusal} from './http_errors';

/** Replies to a request with the status and body of a refusal. */
export type Refuse = (
  request: FastifyRequest,
  reply: FastifyReply,
  refusal: HttpRefusal,
) => FastifyReply;

/** Authenticates requests by keys of one kind and records the key's name. */
export interface HttpAccess<Name extends string> {
  /** Hook for a route's `onRequest`; refuses a missing or unknown key. */
  readonly check: (
    request: FastifyRequest,
    reply: FastifyReply,
  ) => Promise<unknown>;
  /** Name of the key with which `check` accepted the request; else throws. */
  readonly nameOf: (request: FastifyRequest) => Name;
}

function createAccess<Name extends string>(
  keys: readonly HashedKey<Name>[],
  refuse: Refuse,
): HttpAccess<Name> {
  const names = new WeakMap<FastifyRequest, Name>();
  return {
    // Runs before the body is read. Otherwise, clients without a key could make
    // the entry receive and parse large bodies.
    check: (request, reply) => {
      const key = bearerKey(request.headers.authorization);
      const refusal = key === undefined ? 'noKey' : 'wrongKey';
      const name = findKeyName(keys, key);
      if (name === undefined) {
        return Promise.resolve(refuse(request, reply, {kind: refusal}));
      }
      names.set(request, name);
      return Promise.resolve(undefined);
    },
    nameOf: request => {
      const name = names.get(request);
      if (name === undefined) throw new Error('the route has no key check');
      return name;
    },
  };
}

/** Creates the access for callers of workspaces. */
export function createCallerAccess(
  settings: EntrySettings,
  refuse: Refuse,
): HttpAccess<WorkspaceName> {
  return createAccess(settings.workspaceKeys, refuse);
}

/** Creates the access for operators. */
export function createOperatorAccess(
  settings: EntrySettings,
  refuse: Refuse,
): HttpAccess<string> {
  return createAccess(settings.operatorKeys, refuse);
}
