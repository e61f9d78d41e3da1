import type {FastifyReply, FastifyRequest} from 'fastify';
import type {WorkspaceName} from '@hibiscusbeam/core';
import {bearerKey, findKeyName} from '../runtime/keys';
import type {EntrySettings, HashedKey} from '../types/settings';
import type {HttpRefusal} from './http_errors';

/** Refuses a request, with the status that fits. */
export type Refuse = (
  request: FastifyRequest,
  reply: FastifyReply,
  refusal: HttpRefusal,
) => FastifyReply;

/** Lets in who shows a key of one kind, and remembers whose it is. */
export interface HttpAccess<Name extends string> {
  /** For a route's `onRequest`. */
  readonly check: (
    request: FastifyRequest,
    reply: FastifyReply,
  ) => Promise<unknown>;
  /** Whose key a request has shown that `check` let in. */
  readonly nameOf: (request: FastifyRequest) => Name;
}

function createAccess<Name extends string>(
  keys: readonly HashedKey<Name>[],
  refuse: Refuse,
): HttpAccess<Name> {
  const names = new WeakMap<FastifyRequest, Name>();
  return {
    // Before the body is read: who has no key would otherwise make the entry
    // receive and parse as much as those that have one.
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
      if (name === undefined) throw new Error('the route checks no key');
      return name;
    },
  };
}

/** Access of workspaces' callers. */
export function createCallerAccess(
  settings: EntrySettings,
  refuse: Refuse,
): HttpAccess<WorkspaceName> {
  return createAccess(settings.workspaceKeys, refuse);
}

/** Access of operators. */
export function createOperatorAccess(
  settings: EntrySettings,
  refuse: Refuse,
): HttpAccess<string> {
  return createAccess(settings.operatorKeys, refuse);
}
