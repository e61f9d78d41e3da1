import * as z from 'zod';
import {field, fieldWithDefault, group} from './fields';
import {
  choiceSchema,
  durationSchema,
  nameSchema,
  socketAddressSchema,
  urlSchema,
} from './scalars';

/** `listen.site` of every process. */
export const siteListenerField = field(socketAddressSchema.clone(), {
  type: 'IP:port',
  meaning:
    'Address on which this process listens for other processes of the site (gRPC); it is announced to them.',
  example: '10.0.1.7:7400',
});

/** `keys.siteKeyFile` of every process. */
export const siteKeyFileField = field(
  z.string({error: 'must be the path of a file'}).min(1, {
    error: 'must be the path of a file',
  }),
  {
    type: 'path',
    meaning:
      "File with the key with which the site's processes authenticate to one another, at least 16 characters; a relative path starts at the folder of the settings file.",
    example: 'site.key',
  },
);

const platformGroup = group({
  url: field(urlSchema.clone(), {
    type: 'URL',
    meaning: "Base URL of the platform's HTTP interface.",
    example: 'http://10.0.0.5:8080',
  }),
  timeout: fieldWithDefault(durationSchema({least: '10ms', most: '1m'}), '2s', {
    type: 'duration',
    meaning:
      'Time after which a call to the platform without an answer counts as lost.',
    example: '2s',
  }),
});

const logGroup = group({
  level: fieldWithDefault(
    choiceSchema(['debug', 'info', 'warn', 'error']),
    'info',
    {
      type: 'debug, info, warn or error',
      meaning: 'Minimum severity that is logged.',
      example: 'info',
    },
  ),
  format: fieldWithDefault(choiceSchema(['json', 'pretty']), 'json', {
    type: 'json or pretty',
    meaning: 'Log format: one JSON object per line, or human-readable lines.',
    example: 'json',
  }),
});

const metricsGroup = group({
  address: field(socketAddressSchema.clone(), {
    type: 'IP:port',
    meaning:
      'Address to which metrics are sent (StatsD over UDP); required if `metrics` is present. Without `metrics`, none are sent.',
    example: '10.0.0.9:8125',
  }),
  prefix: fieldWithDefault(
    z.string({error: 'must be text'}).regex(/^[A-Za-z][A-Za-z0-9_.]{0,62}$/, {
      error: 'must be 1 to 63 letters, digits, dots or underscores',
    }),
    'hibiscusbeam.',
    {
      type: 'text',
      meaning: 'Prefix of each metric name.',
      example: 'hibiscusbeam.',
    },
  ),
});

/** Fields of every process. */
export const commonShape = {
  instance: field(nameSchema.clone(), {
    type: 'name',
    meaning:
      'Name of this instance. A replacement must get a new name, never an earlier one.',
    example: 'bilbao-7',
  }),
  zone: field(nameSchema.clone(), {
    type: 'name',
    meaning: 'Availability zone of this instance.',
    example: 'bilbao-hall',
  }),
  region: field(nameSchema.clone(), {
    type: 'name',
    meaning: 'Region of this instance.',
    example: 'norte',
  }),
  platform: platformGroup,
  log: logGroup.prefault({}),
  metrics: metricsGroup.optional(),
};
