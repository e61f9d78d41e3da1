import {
  every,
  type Clock,
  type Log,
  type SwarmDriver,
} from '@hibiscusbeam/daemon';
import type {Milliseconds} from '@hibiscusbeam/core';
import type {Announcement, AnnouncementReply} from '@hibiscusbeam/wire';
import type {ServerDuplexStream} from '@grpc/grpc-js';
import {createAgentChannels} from '../link/channels';
import type {MemberDescription} from '../ports';
import {
  createAnnouncementLink,
  type AnnouncementLink,
} from './announcement_link';

/** Period of signs of life between neighbours. */
const HEARTBEAT_PERIOD: Milliseconds = 1_000;

/** A neighbour's stream of announcements, with answers in the other direction. */
export type AnnounceCall = ServerDuplexStream<Announcement, AnnouncementReply>;

/** What the link to the other agents needs. */
export interface PeerAgentsOptions {
  readonly self: MemberDescription;
  readonly swarm: () => SwarmDriver;
  readonly clock: Clock;
  readonly log: Log;
}

/** The link to the agents with which chunks are exchanged. */
export interface PeerAgents {
  readonly channels: ReturnType<typeof createAgentChannels>;
  readonly setMembers: (members: readonly MemberDescription[]) => void;
  readonly announce: (
    instance: string,
    versionDigest: string,
    gained: readonly number[],
  ) => void;
  readonly handleAnnouncement: (
    announcement: Announcement,
  ) => AnnouncementReply;
  /** Takes a neighbour's stream of announcements. */
  readonly answer: (call: AnnounceCall) => void;
  readonly start: () => () => void;
}

interface Peer {
  member: MemberDescription;
  readonly link: AnnouncementLink;
  /** The life that last spoke to us; undefined before. */
  reportedIncarnation: string | undefined;
  connected: boolean;
}

/** Creates the link to the other agents. */
export function createPeerAgents(options: PeerAgentsOptions): PeerAgents {
  const {self, swarm, log} = options;
  const channels = createAgentChannels();
  let peers = new Map<string, Peer>();

  function setMembers(members: readonly MemberDescription[]): void {
    const agents = members.filter(({role}) => role === 'agent');
    const next = new Map<string, Peer>();
    for (const member of agents) {
      const known = peers.get(member.instance);
      next.set(
        member.instance,
        known ? updatePeer(known, member) : createPeer(member),
      );
    }
    for (const [instance, peer] of peers) {
      if (next.get(instance) === peer) continue;
      disconnect(peer);
      peer.link.end();
    }
    peers = next;
    channels.retain(new Set(agents.map(({address}) => address)));
    swarm().setPeers(
      agents.map(({instance, zone, address}) => ({
        instance,
        zone,
        address,
        incarnation: 0,
      })),
    );
    sendHeartbeats();
  }

  function createPeer(member: MemberDescription): Peer {
    const peer: Peer = {
      member,
      link: createAnnouncementLink({
        address: member.address,
        channels,
        clock: options.clock,
        onAnswer: answer => handleAnswer(peer, answer),
        onLost: () => disconnect(peer),
      }),
      reportedIncarnation: undefined,
      connected: false,
    };
    return peer;
  }

  /**
   * Failure: all agents start again at the same moment, and meet by lines that
   * tell of their former lives. When the lines change, each forgets what the
   * others have told it since, and waits a second for it to be told again. Guard:
   * what a process says of its own life counts for more than its line.
   */
  function updatePeer(peer: Peer, member: MemberDescription): Peer {
    const isSame =
      peer.member.life === member.life ||
      peer.reportedIncarnation === member.life;
    if (!isSame) {
      disconnect(peer);
      return createPeer(member);
    }
    peer.member = member;
    return peer;
  }

  /** A life that speaks for the first time knows nothing of the one before. */
  function updateIncarnation(peer: Peer, life: string): void {
    const hasStartedAnew =
      peer.reportedIncarnation !== undefined &&
      peer.reportedIncarnation !== life;
    if (hasStartedAnew) disconnect(peer);
    peer.reportedIncarnation = life;
    connect(peer);
  }

  /**
   * Failure: at the start of a site each agent opens a connection to each other
   * one, 65 in each process, though chunks come from neighbours only. Guard: only
   * neighbours give one another signs of life; others are met when they become
   * neighbours by a version.
   */
  function sendHeartbeats(): void {
    for (const instance of swarm().neighbours()) {
      const peer = peers.get(instance);
      if (peer !== undefined) send(peer, '', []);
    }
  }

  function send(
    peer: Peer,
    versionDigest: string,
    gained: readonly number[],
  ): void {
    peer.link.send({
      instance: self.instance,
      life: self.life,
      versionDigest,
      gained: [...gained],
      asksHeld: !swarm().isHaveKnown(peer.member.instance, versionDigest),
    });
  }

  function handleAnswer(
    peer: Peer,
    {life, held, versionDigest}: AnnouncementReply,
  ): void {
    updateIncarnation(peer, life);
    if (held.length === 0) return;
    swarm().onHaveDelta(peer.member.instance, {versionDigest, gained: held});
  }

  function connect(peer: Peer): void {
    if (peer.connected) return;
    peer.connected = true;
    log.info('agent reached', {instance: peer.member.instance});
    swarm().onPeerConnected(peer.member.instance);
  }

  function disconnect(peer: Peer): void {
    if (!peer.connected) return;
    peer.connected = false;
    log.info('agent lost', {instance: peer.member.instance});
    swarm().onPeerGone(peer.member.instance);
  }

  /**
   * Failure: an agent joins and announces itself before the others have read
   * the members anew. What they would announce to it has no address to go to,
   * and it asks the origin for a part of what they all hold. Or it has forgotten
   * what a neighbour holds that sees no reason to tell it again. Guard: it asks,
   * and the answer itself says it.
   */
  function handleAnnouncement(announcement: Announcement): AnnouncementReply {
    const {instance, life, versionDigest, gained, asksHeld} = announcement;
    const peer = peers.get(instance);
    if (peer !== undefined) updateIncarnation(peer, life);
    if (versionDigest === '') return {life: self.life, held: [], versionDigest};
    swarm().onHaveDelta(instance, {versionDigest, gained});
    const held = asksHeld ? [...swarm().heldPositions(versionDigest)] : [];
    return {life: self.life, held, versionDigest};
  }

  function answer(call: AnnounceCall): void {
    call.on('data', (announcement: Announcement) => {
      const reply = handleAnnouncement(announcement);
      if (announcement.wantsAnswer && call.writable) call.write(reply);
    });
    call.on('end', () => call.end());
    // The neighbour opens a new stream for what it has to tell next.
    call.on('error', error => log.debug('announcements broken', {error}));
  }

  return {
    channels,
    setMembers,
    announce: (instance, versionDigest, gained) => {
      const peer = peers.get(instance);
      if (peer !== undefined) send(peer, versionDigest, gained);
    },
    handleAnnouncement,
    answer,
    start: () => every(HEARTBEAT_PERIOD, sendHeartbeats),
  };
}
