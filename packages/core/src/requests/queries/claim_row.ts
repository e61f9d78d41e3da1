import {Err, Ok, type Result} from 'ts-results';
import type {
  AttemptId,
  Digest,
  InstanceName,
  JsonValue,
  TableKey,
  VersionDigest,
  WorkspaceName,
} from '../../types';
import type {AttemptAddress} from '../types';

/** Where the bytes of a recorded answer are stored. */
export type RecordedBody =
  | {readonly kind: 'inline'; readonly base64: string}
  | {readonly kind: 'object'; readonly key: string; readonly digest: Digest};

/** The state of one key of one workspace, as stored in the table. */
export type ClaimRow = {
  /** Digest of operation and body: the same key must mean the same call. */
  readonly fingerprint: Digest;
} & (
  | {
      /** The attempt may run, or may have run, at its address only. */
      readonly kind: 'claimed';
      readonly address: AttemptAddress;
      readonly entry: InstanceName;
    }
  | {
      /** No attempt so far has run or ever will; the key is free. */
      readonly kind: 'released';
      readonly attempt: AttemptId;
    }
  | {
      readonly kind: 'answered';
      readonly attempt: AttemptId;
      readonly versionDigest: VersionDigest | undefined;
      readonly digest: Digest;
      readonly body: RecordedBody;
    }
  | {
      /** Final: may have run, and is never run again. */
      readonly kind: 'outcomeUnknown';
      readonly attempt: AttemptId;
      readonly detail: string;
    }
);

/** A row that this version of the code can't read. */
export interface MalformedClaim {
  readonly kind: 'malformedClaim';
}

/** Key of the row for a caller's idempotency key. */
export function claimKey(workspace: WorkspaceName, key: string): TableKey {
  return `claims/${encodeURIComponent(workspace)}/${encodeURIComponent(key)}`;
}

/** Key of the row that holds an agent's incarnation. */
export function agentKey(instance: InstanceName): TableKey {
  return `agents/${instance}`;
}

/** The incarnation in an agent's row; `undefined` if it has none. */
export function readIncarnation(value: JsonValue): number | undefined {
  const {incarnation} = fieldsOf(value);
  return typeof incarnation === 'number' ? incarnation : undefined;
}

/** Encodes a claim as the value of its row. */
export function writeClaim(claim: ClaimRow): JsonValue {
  return JSON.parse(JSON.stringify(claim)) as JsonValue;
}

/** Decodes the value of a claim row. */
export function readClaim(value: JsonValue): Result<ClaimRow, MalformedClaim> {
  const fields = fieldsOf(value);
  const {fingerprint} = fields;
  if (typeof fingerprint !== 'string') return Err({kind: 'malformedClaim'});
  const claim = readState(fields, fingerprint);
  return claim === undefined ? Err({kind: 'malformedClaim'}) : Ok(claim);
}

type Fields = {readonly [name: string]: JsonValue | undefined};

function fieldsOf(value: JsonValue | undefined): Fields {
  const isObject =
    typeof value === 'object' && value !== null && !Array.isArray(value);
  return isObject ? (value as Fields) : {};
}

function readState(fields: Fields, fingerprint: Digest): ClaimRow | undefined {
  switch (fields.kind) {
    case 'claimed':
      return readClaimed(fields, fingerprint);
    case 'answered':
      return readAnswered(fields, fingerprint);
    case 'released': {
      const {attempt} = fields;
      if (typeof attempt !== 'string') return undefined;
      return {kind: 'released', fingerprint, attempt};
    }
    case 'outcomeUnknown': {
      const {attempt, detail} = fields;
      if (typeof attempt !== 'string') return undefined;
      if (typeof detail !== 'string') return undefined;
      return {kind: 'outcomeUnknown', fingerprint, attempt, detail};
    }
    default:
      return undefined;
  }
}

function readClaimed(
  fields: Fields,
  fingerprint: Digest,
): ClaimRow | undefined {
  const {attempt, target, instance, incarnation} = fieldsOf(fields.address);
  const {entry} = fields;
  if (typeof attempt !== 'string' || typeof target !== 'string') {
    return undefined;
  }
  if (typeof instance !== 'string' || typeof incarnation !== 'number') {
    return undefined;
  }
  if (typeof entry !== 'string') return undefined;
  const address = {attempt, target, instance, incarnation};
  return {kind: 'claimed', fingerprint, address, entry};
}

function readAnswered(
  fields: Fields,
  fingerprint: Digest,
): ClaimRow | undefined {
  const {attempt, digest, versionDigest} = fields;
  const body = readBody(fieldsOf(fields.body));
  if (typeof attempt !== 'string' || typeof digest !== 'string') {
    return undefined;
  }
  if (body === undefined) return undefined;
  return {
    kind: 'answered',
    fingerprint,
    attempt,
    versionDigest:
      typeof versionDigest === 'string' ? versionDigest : undefined,
    digest,
    body,
  };
}

function readBody(fields: Fields): RecordedBody | undefined {
  const {kind, base64, key, digest} = fields;
  if (kind === 'inline' && typeof base64 === 'string') {
    return {kind, base64};
  }
  if (kind !== 'object') return undefined;
  if (typeof key !== 'string' || typeof digest !== 'string') return undefined;
  return {kind, key, digest};
}
