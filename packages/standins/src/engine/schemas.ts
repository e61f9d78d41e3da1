import * as z from 'zod';
import {answerFaultsShape} from '../shared/answer_faults';

const duration = z.number().nonnegative();

/** The manifest in a load order. */
export const manifestSchema = z.strictObject({
  model: z.string(),
  label: z.string(),
  chunks: z.array(
    z.strictObject({digest: z.string(), size: z.int().nonnegative()}),
  ),
});

export const orderBodySchema = z.strictObject({
  order: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('load'),
      versionDigest: z.string(),
      manifest: manifestSchema,
    }),
    z.strictObject({kind: z.literal('unload'), versionDigest: z.string()}),
  ]),
  fencing: z.int().nonnegative(),
});

/** An order to load or unload a version. */
export type Order = z.infer<typeof orderBodySchema>['order'];

export const generateBodySchema = z.strictObject({
  attempt: z.string().min(1),
  model: z.string(),
  versionDigest: z.string().optional(),
  prompt: z.string(),
  maximumTokens: z.int().positive().max(100_000),
  priority: z.number().default(0),
});

export const engineFaultsSchema = z
  .strictObject({
    ...answerFaultsShape,
    reportLag: duration,
    cacheEventLag: duration,
    cacheEventGapEvery: z.int().nonnegative(),
    frozen: z.boolean(),
    loadTime: duration,
    tokenTime: duration,
    firstTokenTime: duration,
    fencing: z.enum(['checked', 'ignored']),
  })
  .partial();

/** Faults and times of an engine; durations in milliseconds. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
