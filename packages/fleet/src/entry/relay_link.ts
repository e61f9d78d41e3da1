import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {
  FleetEntryClient,
  FollowerGreeting,
  RelayNews,
} from '@hibiscusbeam/wire';
import type {Clock} from '@hibiscusbeam/daemon';
import type {Channels} from '../link/channels';
import type {MemberDescription} from '../ports';
import {createUpdateReader, type RelayUpdate} from './relay_updates';

/** Looks in a row without news after which a relay counts as silent. */
const MAX_SILENT_CHECKS = 3;

/**
 * The same before its first news: a process under way to its start, or a new
 * connection under load, takes up to two seconds.
 */
const MAX_INITIAL_SILENT_CHECKS = 8;

/** What following a relay needs. */
export interface RelayLinkOptions {
  readonly relay: MemberDescription;
  readonly clock: Clock;
  readonly channels: Channels<FleetEntryClient>;
  readonly greeting: () => FollowerGreeting;
  readonly onUpdate: (update: RelayUpdate, relay: MemberDescription) => void;
  /** Told once, when the relay is silent or the connection has broken. */
  readonly onLost: (relay: MemberDescription) => void;
}

/** A connection to a relay, over which its news come. */
export interface RelayLink {
  readonly relay: MemberDescription;
  /** Whether news have come, and come still. */
  readonly isLive: () => boolean;
  /** Tells the relay how this entry stands. */
  readonly greet: () => void;
  /** Counts a look; to be called at a steady pace. */
  readonly check: () => void;
  /** Ends the connection by plan: the relay goes on to trust this entry. */
  readonly end: () => void;
}

type FollowCall = ClientDuplexStream<FollowerGreeting, RelayNews>;

/**
 * Follows a relay.
 *
 * Failure: a relay freezes, or the connection to it falls silent for good, and a
 * whole zone goes by old news. Guard: news come each 300 ms at least, and without
 * them the link is given up. Looks are counted, not time: after a freeze of this
 * process itself, the news that have come meanwhile are read first.
 */
export function openRelayLink(options: RelayLinkOptions): RelayLink {
  const {relay, channels} = options;
  const call: FollowCall = channels.at(relay.address).follow();
  const read = createUpdateReader();
  let checksWithoutUpdate = 0;
  let hasUpdate = false;
  let isOpen = true;

  function lose(): void {
    if (!isOpen) return;
    isOpen = false;
    call.cancel();
    channels.drop(relay.address);
    options.onLost(relay);
  }

  function greet(): void {
    if (isOpen && call.writableLength === 0) call.write(options.greeting());
  }

  call.on('data', (update: RelayNews) => {
    checksWithoutUpdate = 0;
    hasUpdate = true;
    if (isOpen) options.onUpdate(read(update, options.clock()), relay);
  });
  call.on('error', lose);
  call.on('end', lose);
  greet();

  return {
    relay,
    isLive: () => isOpen && hasUpdate,
    greet,
    check: () => {
      checksWithoutUpdate += 1;
      const maxChecks = hasUpdate
        ? MAX_SILENT_CHECKS
        : MAX_INITIAL_SILENT_CHECKS;
      if (checksWithoutUpdate > maxChecks) lose();
    },
    end: () => {
      if (!isOpen) return;
      isOpen = false;
      call.end();
    },
  };
}
