import type {JsonValue} from '@hibiscusbeam/core';
import * as z from 'zod';

const duration = z.number().nonnegative();
const count = z.int().nonnegative();
const key = z.string().min(1).max(1_024);
const jsonValue = z.custom<JsonValue>(value => value !== undefined);

export const readBodySchema = z.strictObject({key});

export const scanBodySchema = z.strictObject({
  prefix: z.string(),
  limit: z.int().positive().max(10_000),
});

const conditionSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('absent'), key}),
  z.strictObject({kind: z.literal('versionIs'), key, version: z.int()}),
]);

const writeSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('put'), key, value: jsonValue}),
  z.strictObject({kind: z.literal('delete'), key}),
]);

export const commitBodySchema = z.strictObject({
  transaction: z.strictObject({
    conditions: z.array(conditionSchema),
    writes: z.array(writeSchema),
  }),
});

/** Body of a commit request. */
export type CommitBody = z.infer<typeof commitBodySchema>;

export const publishBodySchema = z.strictObject({
  model: z.string().min(1),
  label: z.string().min(1),
  chunkCount: z.int().positive().max(100_000),
  chunkSize: z.int().positive(),
  seed: z.int(),
  sharedWith: z.string().optional(),
  sharedShare: z.number().min(0).max(1).optional(),
});

/** Body of a request to publish a version. */
export type PublishBody = z.infer<typeof publishBodySchema>;

export const listedInstanceSchema = z.strictObject({
  instance: z.string(),
  role: z.enum(['entry', 'agent']),
  address: z.string(),
  callerAddress: z.string().optional(),
  zone: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** One row of the instance list. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

const tableFaultsSchema = z
  .strictObject({
    latency: duration,
    outage: z.boolean(),
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
    loseReplies: count,
  })
  .partial();

/** Faults and limits of the table service; durations in milliseconds. */
export type TableFaults = z.infer<typeof tableFaultsSchema>;

const weightFaultsSchema = z
  .strictObject({
    bytesPerSecond: z.number().positive().nullable(),
    outage: z.boolean(),
    stallNext: count,
    corruptNext: count,
  })
  .partial();

/** Faults of the weight store; a rate of `null` is unlimited. */
export type WeightFaults = z.infer<typeof weightFaultsSchema>;

export const platformFaultsSchema = z
  .strictObject({
    table: tableFaultsSchema,
    weights: weightFaultsSchema,
    instances: z.strictObject({lag: duration}).partial(),
    objects: z.strictObject({outage: z.boolean()}).partial(),
  })
  .partial();
