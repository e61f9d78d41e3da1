import {
  defersReadingTo,
  type InstanceName,
  type Milliseconds,
  type MonotonicInstant,
  type TableReader,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {MemberDescription} from '../ports';
import type {RelayedMoment} from './relay_updates';

/**
 * How long a relay of another zone counts as the reader of the operator's table
 * after its last reading. Readings arrive every 0.8 s at a bound of 4 s.
 */
const READER_TIMEOUT: Milliseconds = 2_000;

/** Dependencies of the site reader. */
export interface SiteReaderOptions {
  readonly instance: InstanceName;
  readonly clock: Clock;
  /** Round trip time to the store; undefined until it is known. */
  readonly storeDistance: () => Milliseconds | undefined;
}

/** Tracks which relays read the operator's table for the whole site. */
export interface SiteReader {
  /**
   * Records a reading of the operator's table that a relay has sent, if any.
   */
  readonly record: (
    moment: RelayedMoment | undefined,
    relay: MemberDescription,
  ) => void;
  /** Forgets a lost relay. */
  readonly forget: (relay: MemberDescription) => void;
  /** Whether this entry, as a relay, leaves the reading to another entry. */
  readonly isDelegated: () => boolean;
}

/** A relay that has sent readings of its own. */
interface KnownReader extends TableReader {
  readonly receivedAt: MonotonicInstant;
}

/**
 * Creates the tracker. While no other reader is known, this entry reads the
 * table itself.
 */
export function createSiteReader(options: SiteReaderOptions): SiteReader {
  const {instance, clock} = options;
  const readers = new Map<string, KnownReader>();

  function isDelegated(): boolean {
    const storeDistance = options.storeDistance();
    if (storeDistance === undefined) return false;
    const own: TableReader = {instance, storeDistance};
    const now = clock();
    return [...readers.values()].some(
      reader =>
        now - reader.receivedAt < READER_TIMEOUT &&
        defersReadingTo(own, reader),
    );
  }

  return {
    record: (moment, relay) => {
      const storeDistance = moment?.storeDistance;
      if (storeDistance === undefined) return;
      const {life} = relay;
      const reader = {instance: relay.instance, storeDistance};
      readers.set(life, {...reader, receivedAt: clock()});
    },
    forget: ({life}) => void readers.delete(life),
    isDelegated,
  };
}
