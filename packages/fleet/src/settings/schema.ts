import * as z from 'zod';

const address = z
  .string()
  .regex(/^[^\s:]+:\d{1,5}$/, 'must be IP:port, as in 10.1.0.40:8005');

const milliseconds = z.number().nonnegative();

const common = {
  instance: z.string().min(1),
  zone: z.string().min(1),
  region: z.string().min(1),
  /** Address for the other processes of the site. */
  peerAddress: address,
  metricsAddress: address.optional(),
  /** Maximum number of descriptors that the process may open. */
  maxDescriptors: z.int().positive().nullish(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  store: z.object({address, heartbeat: milliseconds}),
};

const bounds = z.object({
  /** Time from the acknowledgement of a configuration until it is in force. */
  configuration: milliseconds,
  /** Time from the removal of a key until no request with it runs. */
  revocation: milliseconds,
  /** Time from a target's leaving until no request reaches it. */
  draining: milliseconds,
  /** Time from a version's naming until no request begins on an older one. */
  version: milliseconds,
  /**
   * Time from an evacuation's writing until no request reaches the zone's
   * targets.
   */
  evacuation: milliseconds.nullish(),
  /** Time from the stop signal until the process is killed. */
  grace: milliseconds,
  /** Maximum lifetime of a directory's answer. */
  directoryAnswer: milliseconds,
  repeats: z.object({
    /** Retries allowed per request, over all entries. */
    share: z.number().nonnegative(),
    /** Additional retries within the window, over all entries. */
    slack: z.number().nonnegative(),
    window: milliseconds,
  }),
});

/**
 * How requests are admitted when capacity is short. The second form is for
 * platforms that list their requirements for a deployment: admission is by
 * level if the list contains the word.
 */
const admission = z.union([
  z.enum(['level', 'none']),
  z
    .object({levelWhen: z.string(), among: z.array(z.string()).nullish()})
    .transform(({levelWhen, among}) =>
      among?.includes(levelWhen) ? ('level' as const) : ('none' as const),
    ),
]);

/** Settings of an entry. */
export const entrySettings = z.object({
  ...common,
  role: z.literal('entry'),
  callerAddress: address,
  readinessAddress: address,
  directoryAddress: address,
  /**
   * Region of each zone of the site; targets of other zones are in no region.
   */
  regions: z.record(z.string(), z.string().min(1)).nullish(),
  admission: admission.default('none'),
  /** What engines are chosen by if they differ in pace. */
  placement: z.enum(['load', 'forecast']).default('load'),
  /** Maximum number of bytes buffered for slow callers and targets. */
  buffers: z.int().positive().nullish(),
  /**
   * Memory of the process; a share of it is the limit if `buffers` is absent.
   */
  memoryMegabytes: z.number().positive().nullish(),
  bounds,
});

/** Settings of an agent. */
export const agentSettings = z.object({
  ...common,
  role: z.literal('agent'),
  engine: z.object({address, service: z.string().min(1)}),
  /** Rate of the machine's link in each direction, in Mbit/s. */
  linkMegabits: z.number().positive().optional(),
  bounds,
});

/** Settings of either role. */
export const fleetSettings = z.discriminatedUnion('role', [
  entrySettings,
  agentSettings,
]);

/** Resolved settings of an entry. */
export type FleetEntrySettings = Readonly<z.infer<typeof entrySettings>>;

/** Resolved settings of an agent. */
export type FleetAgentSettings = Readonly<z.infer<typeof agentSettings>>;

/** Resolved settings of a process of the fleet. */
export type FleetSettings = Readonly<z.infer<typeof fleetSettings>>;
