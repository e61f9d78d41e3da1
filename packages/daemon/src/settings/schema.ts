import * as z from 'zod';
import {
  commonShape,
  siteKeyFileField,
  siteListenerField,
} from './common_schema';
import {field, fieldWithDefault, group, optionalField} from './fields';
import {
  choiceSchema,
  countSchema,
  durationSchema,
  nameSchema,
  sha256Schema,
  sizeSchema,
  socketAddressSchema,
  urlSchema,
} from './scalars';

const hashedKeysSchema = (meaning: string, example: string) =>
  z
    .array(
      group({
        name: field(nameSchema.clone(), {type: 'name', meaning, example}),
        sha256: field(sha256Schema.clone(), {
          type: 'SHA-256, hexadecimal',
          meaning:
            'Hash of the bearer key, as printed by `hibiscusbeam keys hash`; each key must belong to only one name.',
          example:
            '9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08',
        }),
      }),
      {error: 'must be a list of names with their sha256'},
    )
    .prefault([]);

const limitsGroup = group({
  requestBody: fieldWithDefault(
    sizeSchema({least: '1KiB', most: '64MiB'}),
    '1MiB',
    {
      type: 'size',
      meaning:
        'Maximum size of a request body; a larger one is refused with 413.',
      example: '1MiB',
    },
  ),
  jsonDepth: fieldWithDefault(countSchema(1, 256), 32, {
    type: 'whole number',
    meaning:
      'Maximum nesting depth of a JSON body; a deeper one is refused with 400.',
    example: '32',
  }),
  waiting: fieldWithDefault(countSchema(1, 100_000), 512, {
    type: 'whole number',
    meaning:
      'Maximum number of requests that wait for a target at this entry; any further one is refused with 429.',
    example: '512',
  }),
  longestDeadline: fieldWithDefault(
    durationSchema({least: '1s', most: '1h'}),
    '5m',
    {
      type: 'duration',
      meaning: 'Longest deadline that a caller may request.',
      example: '5m',
    },
  ),
});

const olderSystemGroup = group({
  url: field(urlSchema.clone(), {
    type: 'URL',
    meaning:
      "Base URL of the older system's HTTP interface, which reports what that system owns and receives what it is to own; required if `olderSystem` is present. Without `olderSystem`, no move can be completed.",
    example: 'http://10.0.0.6:8500',
  }),
});

const entryShape = {
  role: choiceSchema(['entry']),
  ...commonShape,
  listen: group({
    site: siteListenerField,
    callers: field(socketAddressSchema.clone(), {
      type: 'IP:port',
      meaning:
        'Address on which this entry listens for callers and operators (HTTP).',
      example: '10.0.1.7:8400',
    }),
  }),
  keys: group({
    siteKeyFile: siteKeyFileField,
    operators: hashedKeysSchema('Name of an operator.', 'ainhoa'),
    workspaces: hashedKeysSchema('Name of a workspace.', 'oviedo-counter'),
  }),
  olderSystem: olderSystemGroup.optional(),
  limits: limitsGroup.prefault({}),
  addressesKeptFor: fieldWithDefault(
    durationSchema({least: '1s', most: '1h'}),
    '30s',
    {
      type: 'duration',
      meaning:
        'How long callers may cache the list of entries. A stopping entry continues to serve for this time, plus three seconds for callers to which another entry still listed it.',
      example: '30s',
    },
  ),
};

const targetGroup = group({
  name: field(nameSchema.clone(), {
    type: 'name',
    meaning: "Name of the target in this agent's slot.",
    example: 'engine-3',
  }),
  kind: field(choiceSchema(['modelEngine', 'plainService']), {
    type: 'modelEngine or plainService',
    meaning: 'Kind of the target.',
    example: 'modelEngine',
  }),
  service: optionalField(nameSchema, {
    type: 'name',
    meaning:
      'Name of the plain service; required for a plainService, not allowed for a modelEngine.',
    example: 'invoicing',
  }),
  url: field(urlSchema.clone(), {
    type: 'URL',
    meaning: "Base URL of the target's HTTP interface.",
    example: 'http://10.0.1.7:9000',
  }),
  fencing: fieldWithDefault(choiceSchema(['checked', 'ignored']), 'ignored', {
    type: 'checked or ignored',
    meaning:
      'Whether the target refuses an order with an outdated fencing number.',
    example: 'checked',
  }),
});

const agentShape = {
  role: choiceSchema(['agent']),
  ...commonShape,
  listen: group({site: siteListenerField}),
  keys: group({siteKeyFile: siteKeyFileField}),
  target: targetGroup,
  transferBuffer: fieldWithDefault(
    sizeSchema({least: '1MiB', most: '64GiB'}),
    '256MiB',
    {
      type: 'size',
      meaning:
        "Maximum number of chunk bytes held in the agent's memory at once.",
      example: '256MiB',
    },
  ),
};

/** Settings file of an entry. */
export const entrySchema = group(entryShape);

/** Settings file of an agent. */
export const agentSchema = group(agentShape);

/**
 * Replaces the other two schemas if `role` is wrong, so that the faults in all
 * other fields are still found.
 */
export const eitherRoleSchema = group({
  ...entryShape,
  ...agentShape,
  role: field(choiceSchema(['entry', 'agent']), {
    type: 'entry or agent',
    meaning: 'Role of this process.',
    example: 'entry',
  }),
  listen: entryShape.listen.partial({callers: true}),
  keys: entryShape.keys,
  target: targetGroup.optional(),
});

/** An entry's checked settings, before they are resolved. */
export type CheckedEntry = z.output<typeof entrySchema>;

/** An agent's checked settings, before they are resolved. */
export type CheckedAgent = z.output<typeof agentSchema>;
