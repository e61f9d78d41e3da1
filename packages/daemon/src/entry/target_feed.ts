import {
  mayOrder,
  type AcceptedConfiguration,
  type Membership,
  type TargetName,
  type WorkspaceLimits,
} from '@hibiscusbeam/core';
import type {TargetReport} from '@hibiscusbeam/wire';
import type {Clock} from '../runtime/clock';
import type {Peer} from '../site/sessions';
import type {Dispatcher} from './dispatcher_types';
import {loadReportOf, type SiteView} from './site_view';
import type {TargetDirectory} from './target_directory';

/** Applies updates from sessions to routing, limits and the site view. */
export interface TargetFeed {
  readonly addPeer: (peer: Peer) => void;
  readonly removePeer: (peer: Peer) => void;
  readonly receiveReport: (peer: Peer, report: TargetReport) => void;
  /** Removes targets from routing whose agents are no longer live. */
  readonly removeGoneTargets: () => void;
}

/** Options of {@link createTargetFeed}. */
export interface TargetFeedOptions {
  readonly clock: Clock;
  readonly directory: TargetDirectory;
  readonly view: SiteView;
  readonly limits: WorkspaceLimits;
  readonly dispatcher: Dispatcher;
  readonly membership: Membership;
  readonly configuration: () => AcceptedConfiguration | undefined;
}

/** Creates the feed of one entry. */
export function createTargetFeed(options: TargetFeedOptions): TargetFeed {
  const {clock, directory, view, limits, dispatcher, membership} = options;

  const removeFromRouting = (target: TargetName): void =>
    dispatcher.record({kind: 'targetGone', target, now: clock()});

  const isOurs = (target: TargetName): boolean => {
    const accepted = options.configuration();
    return accepted !== undefined && mayOrder(target, accepted.configuration);
  };

  return {
    addPeer: peer => {
      view.addPeer(peer);
      const {instance, address, incarnation, target} = peer;
      if (peer.role === 'entry') limits.entryJoined(instance, clock());
      if (target === undefined) return;
      directory.put({target: target.name, instance, address, incarnation});
    },
    removePeer: peer => {
      view.removeReport(peer.instance);
      // Without this, a replaced entry that is silent would count as growing
      // use, and the shares of all others would shrink towards zero.
      if (peer.role === 'entry') limits.entryGone(peer.instance);
      if (peer.target !== undefined) removeFromRouting(peer.target.name);
    },
    receiveReport: (peer, report) => {
      view.receiveReport(peer, report);
      const liveness = membership.livenessOf(peer.instance);
      const load = loadReportOf(peer, report, liveness === 'leaving');
      if (load === undefined) return;
      if (liveness !== 'live' || !isOurs(load.target)) {
        return removeFromRouting(load.target);
      }
      dispatcher.record({kind: 'reportReceived', report: load, now: clock()});
    },
    removeGoneTargets: () => {
      for (const member of membership.members()) {
        if (member.role !== 'agent' || member.liveness === 'live') continue;
        const agent = directory.findByInstance(member.instance);
        if (agent !== undefined) removeFromRouting(agent.target);
      }
    },
  };
}
