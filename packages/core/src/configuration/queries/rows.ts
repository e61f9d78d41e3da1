import * as z from 'zod';
import type {
  AcceptedConfiguration,
  DigestText,
  Generation,
  JsonValue,
  PlanId,
  TableKey,
  TableRow,
} from '../../types';
import type {HeadRow, MoveRow, PlanRow} from '../types';
import {hasValidDigest} from './configuration_digest';

/** Key of the row that names the generation in force. */
export const HEAD_KEY: TableKey = 'configuration/head';

/** Key prefix of all plan rows. */
export const PLAN_PREFIX: TableKey = 'plans/';

/** Key prefix of all move rows. */
export const MOVE_PREFIX: TableKey = 'moves/';

/**
 * Digits to which generations are padded, so that a scan returns bodies in
 * order.
 */
const GENERATION_DIGITS = 12;

/** Suffix of the plan id of the generation that opens what a plan moved. */
const OPENING_SUFFIX = '+open';

/** Key of one generation's immutable body. */
export function bodyKey(generation: Generation): TableKey {
  const digits = String(generation).padStart(GENERATION_DIGITS, '0');
  return `configuration/body/${digits}`;
}

/** Key of a plan's row. */
export function planKey(planId: PlanId): TableKey {
  return `${PLAN_PREFIX}${planId}`;
}

/** Key of the row of a plan's move. */
export function moveKey(planId: PlanId): TableKey {
  return `${MOVE_PREFIX}${planId}`;
}

/** Plan id of the generation that opens what `planId` moved. */
export function openingPlanId(planId: PlanId): PlanId {
  return `${planId}${OPENING_SUFFIX}`;
}

/**
 * Returns the id of the operator's plan from which a generation's plan id
 * derives.
 */
export function operatorPlanId(planId: PlanId): PlanId {
  return planId.endsWith(OPENING_SUFFIX)
    ? planId.slice(0, -OPENING_SUFFIX.length)
    : planId;
}

const generationSchema = z.int().min(0);

const headSchema = z.object({
  generation: generationSchema,
  digest: z.string(),
  planId: z.string(),
  moves: z.array(z.string()),
});

const planStateSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('planned')}),
  z.object({kind: z.literal('abandoned')}),
  z.object({kind: z.literal('confirmed'), generation: generationSchema}),
]);

const planRowSchema = z.object({
  plan: z.looseObject({
    planId: z.string(),
    base: generationSchema,
    digest: z.string(),
    configuration: z.looseObject({}),
    changes: z.array(z.looseObject({subject: z.looseObject({})})),
  }),
  state: planStateSchema,
});

const moveRowSchema = z.object({
  planId: z.string(),
  move: z.object({items: z.array(z.looseObject({name: z.string()}))}),
  closedAt: generationSchema,
  state: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('closed')}),
    z.object({kind: z.literal('opened'), generation: generationSchema}),
    z.object({kind: z.literal('cancelled'), generation: generationSchema}),
  ]),
});

const bodySchema = z.object({
  generation: generationSchema,
  digest: z.string(),
  planId: z.string(),
  configuration: z.looseObject({
    targets: z.looseObject({}),
    models: z.looseObject({}),
    services: z.looseObject({}),
    workspaces: z.looseObject({}),
    olderSystemSwitchedOff: z.boolean(),
  }),
});

/** Converts a value to its stored form, without absent fields. */
export function toJson(value: unknown): JsonValue {
  return JSON.parse(JSON.stringify(value)) as JsonValue;
}

/** Decodes a head row; undefined if it is malformed. */
export function decodeHead(row: TableRow): HeadRow | undefined {
  return headSchema.safeParse(row.value).data;
}

/** Decodes a plan row; undefined if it is malformed. */
export function decodePlanRow(row: TableRow): PlanRow | undefined {
  const parsed = planRowSchema.safeParse(row.value);
  return parsed.success ? (row.value as unknown as PlanRow) : undefined;
}

/** Decodes a move row; undefined if it is malformed. */
export function decodeMoveRow(row: TableRow): MoveRow | undefined {
  const parsed = moveRowSchema.safeParse(row.value);
  return parsed.success ? (row.value as unknown as MoveRow) : undefined;
}

/**
 * Decodes an accepted configuration from a body row or a peer's message;
 * undefined if it is malformed or its digest does not match.
 */
export function decodeAccepted(
  value: unknown,
  digestText: DigestText,
): AcceptedConfiguration | undefined {
  const parsed = bodySchema.safeParse(value);
  if (!parsed.success) return undefined;
  const accepted = value as AcceptedConfiguration;
  return hasValidDigest(digestText, accepted) ? accepted : undefined;
}
