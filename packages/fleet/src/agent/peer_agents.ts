import {
  every,
  handlePeerMessages,
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

/** Period of heartbeats between neighbours. */
const HEARTBEAT_PERIOD: Milliseconds = 1_000;

/**
 * A neighbour's stream of announcements, with answers in the other direction.
 */
export type AnnounceCall = ServerDuplexStream<Announcement, AnnouncementReply>;

/** Options of {@link createPeerAgents}. */
export interface PeerAgentsOptions {
  readonly self: MemberDescription;
  readonly swarm: () => SwarmDriver;
  readonly clock: Clock;
  readonly log: Log;
}

/** Connections to the agents with which chunks are exchanged. */
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
  /** Handles a neighbour's stream of announcements. */
  readonly answer: (call: AnnounceCall) => void;
  readonly start: () => () => void;
}

interface Peer {
  member: MemberDescription;
  readonly link: AnnouncementLink;
  /**
   * The incarnation of the last message from the peer; undefined before the
   * first.
   */
  reportedIncarnation: string | undefined;
  connected: boolean;
}

/** Creates the connections to the other agents. */
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
        log,
        onAnswer: answer => handleAnswer(peer, answer),
        onLost: () => disconnect(peer),
      }),
      reportedIncarnation: undefined,
      connected: false,
    };
    return peer;
  }

  /**
   * Keeps the peer if its row has the known incarnation. What a process reports
   * about its own incarnation takes precedence over its row: if all agents
   * restart at the same time, they first read each other's rows of the previous
   * incarnations. If each forgot what the others have announced when the rows
   * change, it would wait a second for it to be announced again.
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

  /**
   * Disconnects a peer that has restarted: the new incarnation knows nothing of
   * the previous one.
   */
  function updateIncarnation(peer: Peer, life: string): void {
    const hasRestarted =
      peer.reportedIncarnation !== undefined &&
      peer.reportedIncarnation !== life;
    if (hasRestarted) disconnect(peer);
    peer.reportedIncarnation = life;
    connect(peer);
  }

  /**
   * Sends heartbeats to neighbours only; other agents are contacted when a
   * version makes them neighbours. If each agent sent heartbeats to all others,
   * each process would open 65 connections at the start of a site, although
   * chunks come from neighbours only.
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
   * Answers with the held chunks if requested. A joining agent may announce
   * itself before the others have read its row; they have no address to
   * announce to, and it would request chunks from the origin that they all
   * hold. Or the agent has forgotten what a neighbour holds, and the neighbour
   * sees no reason to announce it again. So it requests the positions, and they
   * are part of the answer.
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
    handlePeerMessages(call, log, (announcement: Announcement) => {
      const reply = handleAnnouncement(announcement);
      if (announcement.wantsAnswer && call.writable) call.write(reply);
    });
    call.on('end', () => call.end());
    // The neighbour opens a new stream for its next announcement.
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
