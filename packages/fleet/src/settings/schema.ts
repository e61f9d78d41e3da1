import * as z from 'zod';

const address = z
  .string()
  .regex(/^[^\s:]+:\d{1,5}$/, 'must be IP:port, as in 10.1.0.40:8005');

const milliseconds = z.number().nonnegative();

const common = {
  instance: z.string().min(1),
  zone: z.string().min(1),
  region: z.string().min(1),
  /** Address for our own processes. */
  peerAddress: address,
  metricsAddress: address.optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  store: z.object({address, heartbeat: milliseconds}),
};

const bounds = z.object({
  /** From the acknowledgement of a configuration until it is in force. */
  configuration: milliseconds,
  /** From the removal of a key until no request with it runs. */
  revocation: milliseconds,
  /** From a target's leaving until no request reaches it. */
  draining: milliseconds,
  /** From a version's naming until no request begins on an older one. */
  version: milliseconds,
  /** From an evacuation's writing until no request reaches the zone's targets. */
  evacuation: milliseconds.nullish(),
  /** From the signal to stop until the process is killed. */
  grace: milliseconds,
  /** Longest life of a directory's answer. */
  directoryAnswer: milliseconds,
  repeats: z.object({
    /** Repeats allowed for each request, over all entries. */
    share: z.number().nonnegative(),
    /** Further repeats within the window, over all entries. */
    slack: z.number().nonnegative(),
    window: milliseconds,
  }),
});

/**
 * Who is admitted when capacity is short. The second form is for platforms that
 * list what they ask of a deployment: by level if the list has the word.
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
  /** Regions of the site's zones; targets of other zones are in no region. */
  regions: z.record(z.string(), z.string().min(1)).nullish(),
  admission: admission.default('none'),
  /** What engines are chosen by where they differ in pace. */
  placement: z.enum(['load', 'forecast']).default('load'),
  /** Most bytes that are buffered for callers and targets that read slowly. */
  buffers: z.int().positive().nullish(),
  /** Memory of the process; a share of it is the bound if `buffers` is absent. */
  memoryMegabytes: z.number().positive().nullish(),
  bounds,
});

/** Settings of an agent. */
export const agentSettings = z.object({
  ...common,
  role: z.literal('agent'),
  engine: z.object({address, service: z.string().min(1)}),
  /** Rate of the machine's link each way, in Mbit/s. */
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
