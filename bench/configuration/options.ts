import {parseArgs} from 'node:util';

/** The fault that is injected right after each commit. */
export type Fault = 'none' | 'outage' | 'kill';

/** Options of one benchmark run. */
export interface BenchOptions {
  readonly entries: number;
  readonly agents: number;
  readonly changes: number;
  readonly fault: Fault;
  /** How long the platform is down after each commit, in milliseconds. */
  readonly outage: number;
  readonly json: boolean;
}

const FAULTS: readonly Fault[] = ['none', 'outage', 'kill'];

/** Parses the command line; throws on unknown options and values. */
export function readOptions(programArguments: readonly string[]): BenchOptions {
  const {values} = parseArgs({
    args: [...programArguments],
    options: {
      entries: {type: 'string', default: '4'},
      agents: {type: 'string', default: '16'},
      changes: {type: 'string'},
      fault: {type: 'string', default: 'none'},
      'outage-seconds': {type: 'string', default: '60'},
      json: {type: 'boolean', default: false},
    },
  });
  const fault = FAULTS.find(known => known === values.fault);
  if (fault === undefined) {
    throw new Error(`--fault must be one of ${FAULTS.join(', ')}`);
  }
  // With a fault, each change lasts for a full outage.
  const changes = values.changes ?? (fault === 'none' ? '200' : '1');
  return {
    entries: parseCount('entries', values.entries),
    agents: parseCount('agents', values.agents),
    changes: parseCount('changes', changes),
    fault,
    outage: parseCount('outage-seconds', values['outage-seconds']) * 1_000,
    json: values.json,
  };
}

function parseCount(name: string, text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new Error(`--${name} must be a whole number above 0`);
}
