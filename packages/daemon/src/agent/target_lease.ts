import {
  createLease,
  type Lease,
  type LeaseCheck,
  type Milliseconds,
  type MonotonicInstant,
  type TargetName,
} from '@hibiscusbeam/core';
import type {TableService} from '@hibiscusbeam/platform';
import type {Log} from '../logs';
import {sleep, type Clock} from '../runtime/clock';
import {runTableFlow} from '../runtime/table_flow';
import type {AgentIncarnation} from './incarnation';

/**
 * How long others wait after the last renewal. With three renewals in this
 * time, 600 targets that ignore fencing cost 60 writes per second.
 */
const LEASE_DURATION: Milliseconds = 30_000;

/** Covers the transit of an order and clock rates that differ by 1%. */
const LEASE_MARGIN: Milliseconds = 5_000;

const RENEWAL_PERIOD: Milliseconds = 10_000;

const RETRY_PERIOD: Milliseconds = 1_000;

/** The lease on sending orders to one target. */
export interface TargetLease {
  readonly check: (now: MonotonicInstant) => LeaseCheck;
  readonly stop: () => Promise<void>;
}

/** Acquires the lease and renews it until stopped. */
export function holdTargetLease(options: {
  readonly target: TargetName;
  readonly instance: string;
  readonly agentIncarnation: AgentIncarnation;
  readonly table: TableService;
  readonly clock: Clock;
  readonly log: Log;
}): TargetLease {
  const {target, instance, agentIncarnation, table, clock, log} = options;
  const stopping = new AbortController();
  const lease: Lease = createLease({
    key: `target-leases/${target}`,
    holder: instance,
    token: agentIncarnation.token,
    duration: LEASE_DURATION,
    margin: LEASE_MARGIN,
    conditions: [agentIncarnation.stillCurrent],
  });

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const isHeld = lease.mayAct(clock()).kind === 'mayAct';
      const flow = isHeld ? lease.renew() : lease.acquire();
      const result = await runTableFlow(flow, table, clock);
      if (result.ok && !isHeld) log.info(`holds the lease on ${target}`);
      if (result.err && result.val.kind === 'replaced') {
        return log.warn(`another agent has replaced this one at ${target}`);
      }
      const pause = result.ok ? RENEWAL_PERIOD : RETRY_PERIOD;
      await sleep(pause, stopping.signal);
    }
  };
  const running = run();

  return {
    check: lease.mayAct,
    stop: async () => {
      stopping.abort();
      await running;
      await runTableFlow(lease.release(), table, clock);
    },
  };
}
