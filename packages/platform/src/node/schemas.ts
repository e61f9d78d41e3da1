import type {JsonValue} from '@hibiscusbeam/core';
import * as z from 'zod';

const digest = z.string().regex(/^sha256:[0-9a-f]{64}$/);

// The value comes from JSON.parse, so any defined value is JSON.
const jsonValue = z.custom<JsonValue>(value => value !== undefined);

const rowSchema = z.object({
  key: z.string(),
  version: z.int(),
  value: jsonValue,
});

/** Answer to a read. */
export const readAnswerSchema = z.object({row: rowSchema.nullable()});

/** Answer to a scan. */
export const scanAnswerSchema = z.object({rows: z.array(rowSchema)});

/** Answer to a commit; `row` is null or absent where there is none. */
export const commitAnswerSchema = z.object({
  outcome: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('committed')}),
    z.object({
      kind: z.literal('conditionFailed'),
      failed: z.array(
        z.object({
          key: z.string(),
          row: rowSchema
            .nullish()
            .transform(row => row ?? undefined)
            .prefault(null),
        }),
      ),
    }),
  ]),
});

/** Answer to the resolution of a version label. */
export const resolveAnswerSchema = z.object({versionDigest: digest});

/** A version's manifest. */
export const manifestSchema = z.object({
  model: z.string(),
  label: z.string(),
  chunks: z.array(z.object({digest, size: z.int().nonnegative()})),
});

/** Answer to a request for the list of instances. */
export const instancesAnswerSchema = z.object({
  instances: z.array(
    z.object({
      instance: z.string(),
      role: z.enum(['entry', 'agent']),
      address: z.string(),
      callerAddress: z.string().optional(),
      zone: z.string(),
      region: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});
