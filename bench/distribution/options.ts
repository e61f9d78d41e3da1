import {parseArgs} from 'node:util';

/** How weights are distributed. */
export type Strategy = 'swarm' | 'origin' | 'tree';

/** The fault that is injected during the transfer. */
export type FaultName =
  'none' | 'kill' | 'stall' | 'corrupt' | 'supersede' | 'origin-outage';

const STRATEGIES: readonly Strategy[] = ['swarm', 'origin', 'tree'];
const FAULTS: readonly FaultName[] = [
  'none',
  'kill',
  'stall',
  'corrupt',
  'supersede',
  'origin-outage',
];

/** Options of one benchmark run. */
export interface BenchOptions {
  readonly instances: number;
  readonly zones: number;
  readonly strategy: Strategy;
  readonly prefer: 'time' | 'origin-bytes';
  readonly fault: FaultName;
  readonly seed: number;
  readonly chunks: number;
  readonly chunkBytes: number;
  /** In this time the origin sends four copies and each link transfers two. */
  readonly windowSeconds: number;
  readonly ownZonePicks: number | undefined;
  readonly crossZonePicks: number | undefined;
  readonly downloadSlots: number | undefined;
  readonly uploadSlots: number | undefined;
  /** Whether the agents know the origin's rate. */
  readonly originRate: 'known' | 'unknown';
  /** Share of the chunks that an older, already held version contains. */
  readonly shared: number;
  readonly reuse: boolean;
  readonly processes: number;
  readonly json: boolean;
}

/** Parses the command line; throws an error that names the invalid option. */
export function parseOptions(programArguments: readonly string[]) {
  const {values} = parseArgs({
    args: [...programArguments],
    options: {
      instances: {type: 'string', default: '64'},
      zones: {type: 'string', default: '3'},
      strategy: {type: 'string', default: 'swarm'},
      prefer: {type: 'string', default: 'origin-bytes'},
      fault: {type: 'string', default: 'none'},
      seed: {type: 'string', default: '1'},
      chunks: {type: 'string', default: '256'},
      'chunk-bytes': {type: 'string', default: '16384'},
      window: {type: 'string', default: '40'},
      'own-zone-picks': {type: 'string'},
      'cross-zone-picks': {type: 'string'},
      'download-slots': {type: 'string'},
      'upload-slots': {type: 'string'},
      'origin-rate': {type: 'string', default: 'known'},
      shared: {type: 'string', default: '0'},
      reuse: {type: 'string', default: 'on'},
      processes: {type: 'string', default: '3'},
      json: {type: 'boolean', default: false},
    },
  });
  const options: BenchOptions = {
    instances: toNumber('instances', values.instances),
    zones: toNumber('zones', values.zones),
    strategy: oneOf('strategy', values.strategy, STRATEGIES),
    prefer: oneOf('prefer', values.prefer, ['time', 'origin-bytes']),
    fault: oneOf('fault', values.fault, FAULTS),
    seed: toNumber('seed', values.seed),
    chunks: toNumber('chunks', values.chunks),
    chunkBytes: toNumber('chunk-bytes', values['chunk-bytes']),
    windowSeconds: toNumber('window', values.window),
    ownZonePicks: optional('own-zone-picks', values['own-zone-picks']),
    crossZonePicks: optional('cross-zone-picks', values['cross-zone-picks']),
    downloadSlots: optional('download-slots', values['download-slots']),
    uploadSlots: optional('upload-slots', values['upload-slots']),
    originRate: oneOf('origin-rate', values['origin-rate'], [
      'known',
      'unknown',
    ]),
    shared: toNumber('shared', values.shared),
    reuse: oneOf('reuse', values.reuse, ['on', 'off']) === 'on',
    processes: toNumber('processes', values.processes),
    json: values.json,
  };
  return options;
}

function toNumber(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new Error(`--${name}: not a number: ${text}`);
  }
  return value;
}

function optional(name: string, text: string | undefined): number | undefined {
  return text === undefined ? undefined : toNumber(name, text);
}

function oneOf<Name extends string>(
  option: string,
  text: string,
  names: readonly Name[],
): Name {
  const found = names.find(name => name === text);
  if (found !== undefined) return found;
  throw new Error(`--${option}: one of ${names.join(', ')}`);
}
