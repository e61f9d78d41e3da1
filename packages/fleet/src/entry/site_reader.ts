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
 * after its last word of it, which comes each 0.8 s at a bound of 4 s.
 */
const READER_TIMEOUT: Milliseconds = 2_000;

/** What choosing the reader needs. */
export interface SiteReaderOptions {
  readonly instance: InstanceName;
  readonly clock: Clock;
  /** Time to the store and back; undefined if it is not known yet. */
  readonly storeDistance: () => Milliseconds | undefined;
}

/** Knows which relays read the operator's table for the whole site. */
export interface SiteReader {
  /** Takes what a relay tells of the operator's table, if it tells of it. */
  readonly record: (
    moment: RelayedMoment | undefined,
    relay: MemberDescription,
  ) => void;
  /** Forgets a relay that is lost. */
  readonly forget: (relay: MemberDescription) => void;
  /** Whether this entry, as a relay, leaves the reading to another one. */
  readonly isDelegated: () => boolean;
}

/** A relay that has told of its own readings. */
interface KnownReader extends TableReader {
  readonly receivedAt: MonotonicInstant;
}

/** Creates the choice; without any word this entry reads by itself. */
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
