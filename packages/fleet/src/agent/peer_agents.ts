import {every, type Log, type SwarmDriver} from '@hibiscusbeam/daemon';
import type {Milliseconds} from '@hibiscusbeam/core';
import type {Announcement, AnnouncementReply} from '@hibiscusbeam/wire';
import {callOnce, createAgentChannels} from '../link/channels';
import type {MemberDescription} from '../ports';

/** Period of signs of life between neighbours. */
const SIGN_PERIOD: Milliseconds = 1_000;

/** Longest wait for the answer to an announcement. */
const ANNOUNCE_TIMEOUT: Milliseconds = 600;

/** What the link to the other agents needs. */
export interface PeerAgentsOptions {
  readonly self: MemberDescription;
  readonly swarm: () => SwarmDriver;
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
  readonly take: (announcement: Announcement) => AnnouncementReply;
  readonly start: () => () => void;
}

interface Peer {
  readonly member: MemberDescription;
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
      const same = known?.member.life === member.life ? known : undefined;
      if (known !== undefined && same === undefined) disconnect(known);
      next.set(member.instance, same ?? {member, connected: false});
    }
    for (const [instance, peer] of peers) {
      if (!next.has(instance)) disconnect(peer);
    }
    peers = next;
    channels.keep(new Set(agents.map(({address}) => address)));
    swarm().setPeers(
      agents.map(({instance, zone, address}) => ({
        instance,
        zone,
        address,
        incarnation: 0,
      })),
    );
    signAll();
  }

  function signAll(): void {
    const neighbours = new Set(swarm().neighbours());
    for (const peer of peers.values()) {
      const isNeighbour = neighbours.has(peer.member.instance);
      if (isNeighbour || !peer.connected) void send(peer, '', []);
    }
  }

  async function send(
    peer: Peer,
    versionDigest: string,
    gained: readonly number[],
  ): Promise<void> {
    const {address} = peer.member;
    const announcement = {
      instance: self.instance,
      life: self.life,
      versionDigest,
      gained: [...gained],
    };
    const reply = await callOnce<AnnouncementReply>(ANNOUNCE_TIMEOUT, done =>
      channels.at(address).announce(announcement, done),
    );
    channels.note(address, reply.ok);
    if (reply.err) return disconnect(peer);
    connect(peer);
    if (reply.val.held.length === 0) return;
    swarm().onHaveDelta(peer.member.instance, {
      versionDigest,
      gained: reply.val.held,
    });
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
   * and it asks the origin for a part of what they all hold. Guard: the answer
   * itself says what is held, and needs no address.
   */
  function take(announcement: Announcement): AnnouncementReply {
    const {instance, versionDigest, gained} = announcement;
    const peer = peers.get(instance);
    if (peer !== undefined) connect(peer);
    if (versionDigest === '') return {life: self.life, held: []};
    swarm().onHaveDelta(instance, {versionDigest, gained});
    const held =
      peer === undefined ? [...swarm().heldPositions(versionDigest)] : [];
    return {life: self.life, held};
  }

  return {
    channels,
    setMembers,
    announce: (instance, versionDigest, gained) => {
      const peer = peers.get(instance);
      if (peer !== undefined) void send(peer, versionDigest, gained);
    },
    take,
    start: () => every(SIGN_PERIOD, signAll),
  };
}
