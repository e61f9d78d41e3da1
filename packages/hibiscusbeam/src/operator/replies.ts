import * as z from 'zod';

const subjectSchema = z.object({kind: z.string(), name: z.string()});

const planSchema = z.object({
  planId: z.string(),
  summary: z.string(),
  operator: z.string(),
  plannedAt: z.number(),
  base: z.number(),
  changes: z.array(
    z.object({subject: subjectSchema, before: z.string(), after: z.string()}),
  ),
  originBytes: z.number(),
  expectedSeconds: z.number(),
  capacity: z.array(
    z.object({
      model: z.string(),
      before: z.number(),
      lowest: z.number(),
      after: z.number(),
    }),
  ),
  owners: z.array(
    z.object({subject: subjectSchema, before: z.string(), after: z.string()}),
  ),
  warnings: z.array(
    z.object({kind: z.string(), subject: subjectSchema, detail: z.string()}),
  ),
});

const planStateSchema = z.object({
  kind: z.enum(['planned', 'abandoned', 'confirmed']),
  generation: z.number().optional(),
});

const moveSchema = z.object({
  state: z.object({
    kind: z.enum(['closed', 'opened', 'cancelled']),
    generation: z.number().optional(),
  }),
  closedAt: z.number(),
  awaited: z.array(z.object({process: z.string(), reason: z.string()})),
});

/** Reply to planning an intent and to showing a plan. */
export const planReplySchema = z.object({
  plan: planSchema,
  state: planStateSchema,
  /** Whether all processes are at the plan's generation; set once confirmed. */
  inForce: z.boolean().optional(),
  lagging: z
    .array(
      z.object({
        instance: z.string(),
        /** Absent if the process did not report it. */
        generation: z.number().optional(),
      }),
    )
    .optional(),
  /** Set once a plan with a move is confirmed. */
  move: moveSchema.optional(),
});

/** Reply to listing plans. */
export const planListReplySchema = z.object({
  plans: z.array(
    planSchema
      .pick({planId: true, summary: true, operator: true, plannedAt: true})
      .extend({base: z.number(), state: planStateSchema}),
  ),
});

/** Reply to confirming a plan. */
export const confirmReplySchema = z.object({
  planId: z.string(),
  generation: z.number(),
  /** True if the plan was already confirmed and nothing changed this time. */
  wasConfirmed: z.boolean(),
});

/** Reply to abandoning a plan. */
export const abandonReplySchema = z.object({planId: z.string()});

const versionStatusSchema = z.object({
  model: z.string(),
  label: z.string(),
  versionDigest: z.string(),
  instancesDone: z.number(),
  instancesTotal: z.number(),
  chunksHeld: z.number(),
  chunksTotal: z.number(),
  originBytes: z.number(),
  /** Milliseconds until the last instance serves it; null if not known. */
  expectedEnd: z.number().nullable(),
});

/** Reply to a status request. */
export const statusReplySchema = z.object({
  generation: z.number(),
  versions: z.array(versionStatusSchema),
});

const conflictingChangeSchema = z.object({
  generation: z.number(),
  planId: z.string(),
  summary: z.string(),
  operator: z.string(),
  shared: z.array(subjectSchema),
});

/** Body of a refusal; every field but `error` may be absent. */
export const refusalSchema = z.object({
  error: z.string(),
  detail: z.string().optional(),
  field: z.string().optional(),
  advice: z.string().optional(),
  faults: z.array(z.object({path: z.string(), detail: z.string()})).optional(),
  others: z.array(conflictingChangeSchema).optional(),
});

/** A plan with its changes and its state. */
export type PlanReply = z.output<typeof planReplySchema>;

/** State of a move and the processes it waits for. */
export type MoveReply = z.output<typeof moveSchema>;

/** Plans, newest first. */
export type PlanListReply = z.output<typeof planListReplySchema>;

/** The site's generation and the progress of its versions. */
export type StatusReply = z.output<typeof statusReplySchema>;

/** Distribution progress of one version. */
export type VersionStatus = z.output<typeof versionStatusSchema>;

/** Body of a refusal. */
export type Refusal = z.output<typeof refusalSchema>;
