import * as z from 'zod';

/** Maximum number of changes in one intent, so that its plan stays readable. */
const MAX_CHANGES = 200;

/** Maximum number of names in one list; more than the largest site has. */
const MAX_NAMES = 2_000;

/** Maximum length of a name or text in an intent, in characters. */
const MAX_NAME_LENGTH = 200;

const NAME_CHARACTERS = /^[A-Za-z0-9][A-Za-z0-9._:-]*$/;

const nameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(
    NAME_CHARACTERS,
    'must begin with a letter or digit and hold only letters, digits and . _ : -',
  );

const uniqueNames = z
  .array(nameSchema)
  .max(MAX_NAMES)
  .refine(names => new Set(names).size === names.length, {
    message: 'names must not repeat',
  })
  .readonly();

const nonEmptyNames = uniqueNames.refine(names => names.length > 0, {
  message: 'at least one name',
});

const ownerSchema = z.enum(['older-system', 'hibiscusbeam']);

const targetChoiceSchema = z
  .strictObject({
    instances: nonEmptyNames.optional(),
    zone: nameSchema.optional(),
    count: z.int().min(1).max(MAX_NAMES).optional(),
  })
  .refine(
    choice =>
      choice.instances === undefined
        ? choice.zone !== undefined || choice.count !== undefined
        : choice.zone === undefined && choice.count === undefined,
    {message: 'give either instances, or zone, count or both'},
  )
  .transform(({instances, zone, count}) =>
    instances === undefined ? {zone, count} : {instances},
  );

const serveSchema = z.strictObject({
  kind: z.literal('serve'),
  model: nameSchema,
  version: nameSchema,
  targets: targetChoiceSchema,
  capacityFloor: z.int().min(0).default(0),
  prefer: z.enum(['time', 'origin-bytes']).default('time'),
});

const joinSchema = z.strictObject({
  kind: z.literal('join'),
  targets: nonEmptyNames,
  owner: ownerSchema.optional(),
  fencing: z.enum(['checked', 'ignored']).optional(),
});

const leaveSchema = z.strictObject({
  kind: z.literal('leave'),
  targets: nonEmptyNames,
});

const workspaceSchema = z.strictObject({
  kind: z.literal('workspace'),
  workspace: nameSchema,
  priority: z.int().min(0).max(1_000).optional(),
  weight: z.number().positive().max(1_000_000).optional(),
  requestsPerSecond: z.number().positive().max(1_000_000).optional(),
  open: z.boolean().optional(),
  owner: ownerSchema.optional(),
});

const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  service: nameSchema,
  notRepeatable: uniqueNames,
});

const ownSchema = z
  .strictObject({
    kind: z.literal('own'),
    owner: ownerSchema,
    targets: uniqueNames.default([]),
    workspaces: uniqueNames.default([]),
  })
  .refine(own => own.targets.length + own.workspaces.length > 0, {
    message: 'name at least one target or workspace',
  });

const switchOffSchema = z.strictObject({kind: z.literal('switch-off')});

/** Schema of an intent that was parsed from YAML or JSON. */
export const intentSchema = z.strictObject({
  summary: z.string().max(MAX_NAME_LENGTH).default(''),
  changes: z
    .array(
      z.discriminatedUnion('kind', [
        serveSchema,
        joinSchema,
        leaveSchema,
        workspaceSchema,
        serviceSchema,
        ownSchema,
        switchOffSchema,
      ]),
    )
    .min(1)
    .max(MAX_CHANGES)
    .readonly(),
});
