import {acquireLease} from './commands/acquire';
import {releaseLease} from './commands/release';
import {renewLease} from './commands/renew';
import {createLeaseState} from './lease_state';
import {checkLease} from './queries/check_lease';
import type {Lease, LeaseSettings} from './types';

/** Creates one holder's view of the lease on one row. */
export function createLease(settings: LeaseSettings): Lease {
  const leaseState = createLeaseState();
  return {
    acquire: () => acquireLease(settings, leaseState),
    renew: () => renewLease(settings, leaseState),
    release: () => releaseLease(settings, leaseState),
    mayAct: now => checkLease(leaseState.held, now),
  };
}
