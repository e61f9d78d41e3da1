import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {
  FleetEntryClient,
  FollowerGreeting,
  RelayNews,
} from '@hibiscusbeam/wire';
import {handlePeerMessages, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {Channels} from '../link/channels';
import type {MemberDescription} from '../ports';
import {createUpdateReader, type RelayUpdate} from './relay_updates';

/** Checks in a row without an update after which a relay counts as silent. */
const MAX_SILENT_CHECKS = 3;

/**
 * Limit before the first update: a process that is starting, or a new
 * connection under load, takes up to two seconds.
 */
const MAX_INITIAL_SILENT_CHECKS = 8;

/** Options of a link to a relay. */
export interface RelayLinkOptions {
  readonly relay: MemberDescription;
  readonly clock: Clock;
  readonly channels: Channels<FleetEntryClient>;
  readonly log: Log;
  readonly greeting: () => FollowerGreeting;
  readonly onUpdate: (update: RelayUpdate, relay: MemberDescription) => void;
  /** Called once, when the relay is silent or the connection has broken. */
  readonly onLost: (relay: MemberDescription) => void;
}

/** A connection to a relay, over which its updates arrive. */
export interface RelayLink {
  readonly relay: MemberDescription;
  /** Whether updates have arrived and the link is still open. */
  readonly isLive: () => boolean;
  /** Sends the relay the status of this entry. */
  readonly greet: () => void;
  /** Counts a check; must be called at regular intervals. */
  readonly check: () => void;
  /**
   * Ends the connection cleanly, so that the relay doesn't count this entry as
   * lost.
   */
  readonly end: () => void;
}

type FollowCall = ClientDuplexStream<FollowerGreeting, RelayNews>;

/**
 * Follows a relay.
 *
 * If a relay freezes or its connection goes silent, a whole zone would use old
 * data. A relay sends an update at least every 300 ms, and without one the link
 * is given up. Checks are counted instead of time: after a freeze of this
 * process, the updates that arrived meanwhile are read first.
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

  handlePeerMessages(call, options.log, (update: RelayNews) => {
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
