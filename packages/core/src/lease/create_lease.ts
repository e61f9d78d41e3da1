import {acquireLease} from './commands/acquire';
import {releaseLease} from './commands/release';
import {renewLease} from './commands/renew';
import {createLeaseMemory} from './lease_memory';
import {checkLease} from './queries/check_lease';
import type {Lease, LeaseSettings} from './types';

/** One holder's side of the lease on one row. */
export function createLease(settings: LeaseSettings): Lease {
  const memory = createLeaseMemory();
  return {
    acquire: () => acquireLease(settings, memory),
    renew: () => renewLease(settings, memory),
    release: () => releaseLease(settings, memory),
    mayAct: now => checkLease(memory.held, now),
  };
}
