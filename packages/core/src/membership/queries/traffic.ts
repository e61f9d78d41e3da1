import type {BytesPerSecond} from '../../types';
import {
  AGENT_HEARTBEAT_SIZE,
  ENTRY_HEARTBEAT_SIZE,
  MIN_HELD_PER_GROUP,
  HEARTBEAT_PERIOD,
  HOLDERS_PER_TARGET,
  MESSAGE_OVERHEAD,
} from '../bounds';
import {maxHeldTargets} from './held_targets';

const MILLISECONDS_PER_SECOND = 1_000;

/** Size of a site, for the cost of its heartbeats. */
export interface SiteSize {
  readonly entries: number;
  /** Number of targets of each model or service. */
  readonly targetsPerGroup: readonly number[];
}

/** Cost of heartbeats for one node, both directions together. */
export interface HeartbeatTraffic {
  /** Sessions and traffic of the entry that holds the most targets. */
  readonly entrySessions: number;
  readonly entryBytes: BytesPerSecond;
  /** Sessions and traffic of an average agent. */
  readonly agentSessions: number;
  readonly agentBytes: BytesPerSecond;
}

/** Calculates the cost of heartbeats from the sizes in `bounds.ts`. */
export function heartbeatTraffic(site: SiteSize): HeartbeatTraffic {
  let entrySessions = 0;
  let held = 0;
  let targets = 0;
  for (const count of site.targetsPerGroup) {
    entrySessions += maxHeldTargets(site.entries, count);
    held += site.entries * Math.min(count, MIN_HELD_PER_GROUP);
    held += count * Math.min(site.entries, HOLDERS_PER_TARGET);
    targets += count;
  }
  const agentSessions = targets === 0 ? 0 : held / targets;
  const perSession = sessionBytes();
  return {
    entrySessions,
    entryBytes: entrySessions * perSession,
    agentSessions,
    agentBytes: agentSessions * perSession,
  };
}

/** Traffic of one session between an entry and an agent. */
function sessionBytes(): BytesPerSecond {
  const pair =
    AGENT_HEARTBEAT_SIZE + ENTRY_HEARTBEAT_SIZE + 2 * MESSAGE_OVERHEAD;
  return (pair * MILLISECONDS_PER_SECOND) / HEARTBEAT_PERIOD;
}
