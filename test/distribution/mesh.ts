import {
  createSwarmNode,
  type Digest,
  type InstanceName,
  type RequestFailure,
  type SwarmEffect,
  type SwarmEvent,
} from '@hibiscusbeam/core';
import {createMeshClock} from './mesh_clock';
import type {MeshRequest, Fault, MeshNode, MeshOptions} from './mesh_types';
import type {GeneratedVersion} from './versions';

/** Max simulated time before a mesh counts as stuck, in milliseconds. */
const MAX_RUN_MS = 900_000;

/**
 * Connects swarm nodes by simulated links that lose, delay, duplicate and
 * misroute messages.
 */
export function createMesh(options: MeshOptions) {
  const {now, randomBelow, schedule, runUntil} = createMeshClock(options.seed);
  const chunkRequests: MeshRequest[] = [];
  const cutOffs: {by: number; neighbour: InstanceName}[] = [];
  const readyViolations: string[] = [];
  const servedUploads: {by: number; from: InstanceName}[] = [];
  const uploads = new Map<
    string,
    {by: number; life: number; transfer: number; digest: Digest}
  >();
  const pending = {corrupt: 0, cross: 0, double: 0, late: 0};
  let current = 0;
  let originDownUntil = 0;
  let nextUpload = 1;

  const names = Array.from({length: options.nodes}, (_, i) => `agent-${i}`);
  const nodes: MeshNode[] = names.map((instance, index) => {
    const zone = `zone-${index % (options.zones ?? 2)}`;
    return {
      instance,
      zone,
      node: createNode(instance, zone, index),
      agentIncarnation: 0,
      storeIncarnation: 0,
      store: new Map(),
      alive: true,
      frozenUntil: 0,
      wakeUp: Infinity,
      pieces: new Map(),
      ready: new Set(),
    };
  });

  function createNode(instance: string, zone: string, seed: number) {
    return createSwarmNode({
      instance,
      zone,
      seed,
      transferBuffer: 1 << 20,
      ...options.node,
    });
  }

  /**
   * Delivers an event to one incarnation of a node; a frozen node receives it
   * when it wakes up.
   */
  function dispatch(
    index: number,
    incarnation: number,
    event: SwarmEvent,
  ): void {
    const target = nodes[index]!;
    if (!target.alive || target.agentIncarnation !== incarnation) return;
    if (target.frozenUntil > now()) {
      if (target.frozenUntil === Infinity) return;
      schedule(target.frozenUntil - now(), () =>
        dispatch(index, incarnation, event),
      );
      return;
    }
    for (const effect of target.node.handle(event, now())) {
      runEffect(index, effect);
    }
    const at = target.node.nextWakeUp();
    if (at === undefined || at === target.wakeUp) return;
    target.wakeUp = at;
    schedule(Math.max(1, at - now()), () => {
      target.wakeUp = Infinity;
      dispatch(index, incarnation, {kind: 'tick'});
    });
  }

  function deliver(
    index: number,
    incarnation: number,
    transfer: number,
    digest: Digest,
    isIntact: boolean,
  ): void {
    const isBad = !isIntact || consumeFault('corrupt');
    const other = [...options.versions[0]!.content.keys()][0]!;
    const arriving = consumeFault('cross') ? other : digest;
    const bytes = isBad ? 'bad' : arriving;
    const times = consumeFault('double') ? 2 : 1;
    const delay = consumeFault('late') ? 20_000 : 5 + randomBelow(20);
    for (let time = 0; time < times; time += 1) {
      schedule(delay + time * 50, () => {
        nodes[index]!.pieces.set(transfer, bytes);
        dispatch(index, incarnation, {
          kind: 'chunkArrived',
          transfer,
          digest: arriving,
          verified: bytes === arriving,
        });
      });
    }
  }

  function consumeFault(kind: keyof typeof pending): boolean {
    if (pending[kind] === 0) return false;
    pending[kind] -= 1;
    return true;
  }

  function fail(
    index: number,
    incarnation: number,
    transfer: number,
    failure: RequestFailure,
  ): void {
    const event = {kind: 'requestFailed', transfer, failure} as const;
    schedule(2 + randomBelow(5), () => dispatch(index, incarnation, event));
  }

  function runEffect(index: number, effect: SwarmEffect): void {
    const own = nodes[index]!;
    const incarnation = own.agentIncarnation;
    switch (effect.kind) {
      case 'askOrigin': {
        const {transfer, digest} = effect;
        chunkRequests.push({at: now(), by: index, from: 'origin', digest});
        if (originDownUntil > now()) {
          fail(index, incarnation, transfer, {kind: 'unavailable'});
        } else deliver(index, incarnation, transfer, digest, true);
        return;
      }
      case 'askNeighbour': {
        const {transfer, digest, neighbour} = effect;
        chunkRequests.push({at: now(), by: index, from: neighbour, digest});
        const sender = names.indexOf(neighbour);
        schedule(1 + randomBelow(5), () => {
          const target = nodes[sender]!;
          if (!target.alive) {
            fail(index, incarnation, transfer, {kind: 'unavailable'});
            return;
          }
          const upload = nextUpload;
          nextUpload += 1;
          uploads.set(`${sender}:${upload}`, {
            by: index,
            life: incarnation,
            transfer,
            digest,
          });
          dispatch(sender, target.agentIncarnation, {
            kind: 'uploadAsked',
            upload,
            neighbour: own.instance,
            digest,
          });
        });
        return;
      }
      case 'startUpload': {
        const upload = uploads.get(`${index}:${effect.upload}`)!;
        const isIntact = options.badSenders?.includes(index) !== true;
        servedUploads.push({by: upload.by, from: own.instance});
        deliver(
          upload.by,
          upload.life,
          upload.transfer,
          upload.digest,
          isIntact,
        );
        const reads = nodes[upload.by]!.frozenUntil <= now();
        if (!reads) return;
        const ended = {kind: 'uploadEnded', upload: effect.upload} as const;
        schedule(25, () => dispatch(index, incarnation, ended));
        return;
      }
      case 'refuseUpload': {
        const upload = uploads.get(`${index}:${effect.upload}`)!;
        fail(upload.by, upload.life, upload.transfer, effect.failure);
        return;
      }
      case 'storeChunk': {
        const bytes = own.pieces.get(effect.transfer)!;
        const {digest, life: storeLife} = effect;
        schedule(1 + randomBelow(20), () => {
          own.store.set(digest, bytes);
          const stored = {
            kind: 'chunkStored',
            digest,
            life: storeLife,
          } as const;
          schedule(1 + randomBelow(20), () =>
            dispatch(index, incarnation, stored),
          );
        });
        return;
      }
      case 'announce': {
        const {versionDigest, gained} = effect;
        for (const neighbour of effect.neighbours) {
          const target = names.indexOf(neighbour);
          const targetIncarnation = nodes[target]!.agentIncarnation;
          const have = {
            kind: 'neighbourHave',
            neighbour: own.instance,
            versionDigest,
            gained,
          } as const;
          schedule(3, () => dispatch(target, targetIncarnation, have));
        }
        return;
      }
      case 'ready':
        return checkReady(own, effect.versionDigest);
      case 'cutOff':
        cutOffs.push({by: index, neighbour: effect.neighbour});
        return;
      case 'cancel':
      case 'stopUpload':
        return;
    }
  }

  function checkReady(own: MeshNode, versionDigest: Digest): void {
    own.ready.add(versionDigest);
    const version = options.versions.find(
      candidate => candidate.versionDigest === versionDigest,
    )!;
    for (const {digest} of version.manifest.chunks) {
      const stored = own.store.get(digest);
      if (stored !== digest) readyViolations.push(`${own.instance}: ${stored}`);
    }
  }

  function startNode(index: number): void {
    const own = nodes[index]!;
    const incarnation = own.agentIncarnation;
    dispatch(index, incarnation, {kind: 'membersChanged', members: nodes});
    reportHeld(index);
    want(index, options.versions[current]!);
  }

  function reportHeld(index: number): void {
    const own = nodes[index]!;
    const report = {
      kind: 'heldReported',
      life: String(own.storeIncarnation),
      digests: [...own.store.keys()],
    } as const;
    dispatch(index, own.agentIncarnation, report);
  }

  function want(index: number, version: GeneratedVersion): void {
    dispatch(index, nodes[index]!.agentIncarnation, {
      kind: 'versionWanted',
      versionDigest: version.versionDigest,
      manifest: version.manifest,
      prefer: options.prefer ?? 'origin-bytes',
      holders: names,
    });
  }

  function endSession(index: number, other: number): void {
    const own = nodes[index]!;
    const incarnation = own.agentIncarnation;
    const neighbour = names[other]!;
    schedule(2, () =>
      dispatch(index, incarnation, {kind: 'neighbourGone', neighbour}),
    );
    schedule(50, () => {
      if (!nodes[other]!.alive) return;
      dispatch(index, incarnation, {kind: 'neighbourConnected', neighbour});
    });
  }

  function loseSessions(index: number): void {
    names.forEach((_name, other) => {
      if (other !== index) endSession(other, index);
    });
  }

  /**
   * If freezes overlap, the later end counts. Messages to a node that is frozen
   * forever are lost, so another freeze must not shorten such a freeze.
   */
  function freeze(own: MeshNode, until: number): void {
    own.frozenUntil = Math.max(own.frozenUntil, until);
  }

  function inject(fault: Fault): void {
    switch (fault.kind) {
      case 'kill':
        nodes[fault.node]!.alive = false;
        return loseSessions(fault.node);
      case 'freeze':
        freeze(nodes[fault.node]!, now() + fault.time);
        return;
      case 'restartAgent': {
        const own = nodes[fault.node]!;
        if (!own.alive) return;
        own.agentIncarnation += 1;
        own.frozenUntil = 0;
        own.node = createNode(own.instance, own.zone, fault.node);
        own.ready.clear();
        loseSessions(fault.node);
        schedule(10 + randomBelow(100), () => startNode(fault.node));
        return;
      }
      case 'restartEngine': {
        const own = nodes[fault.node]!;
        own.storeIncarnation += 1;
        own.store = new Map();
        own.ready.clear();
        return reportHeld(fault.node);
      }
      case 'cutSession':
        endSession(fault.node, fault.other);
        return endSession(fault.other, fault.node);
      case 'originOutage':
        originDownUntil = now() + fault.time;
        return;
      case 'supersede': {
        const old = options.versions[current]!;
        if (current + 1 >= options.versions.length) return;
        current += 1;
        const {versionDigest} = old;
        nodes.forEach((_node, index) => {
          schedule(randomBelow(200), () => {
            const incarnation = nodes[index]!.agentIncarnation;
            dispatch(index, incarnation, {
              kind: 'versionSuperseded',
              versionDigest,
            });
            want(index, options.versions[current]!);
          });
        });
        return;
      }
      case 'corruptNext':
        pending.corrupt += 1;
        return;
      case 'crossNext':
        pending.cross += 1;
        return;
      case 'doubleNext':
        pending.double += 1;
        return;
      case 'lateNext':
        pending.late += 1;
        return;
    }
  }

  function isDone(): boolean {
    const wanted = options.versions[current]!.versionDigest;
    return nodes.every(
      node =>
        !node.alive || node.frozenUntil === Infinity || node.ready.has(wanted),
    );
  }

  /** Runs until every live node is ready; returns false if one never is. */
  function run(
    faults: readonly {readonly at: number; readonly fault: Fault}[] = [],
  ): boolean {
    names.forEach((_name, index) =>
      schedule(randomBelow(10), () => startNode(index)),
    );
    let left = faults.length;
    for (const {at, fault} of faults) {
      schedule(at, () => {
        left -= 1;
        inject(fault);
      });
    }
    return runUntil(() => left === 0 && isDone(), MAX_RUN_MS);
  }

  return {
    nodes,
    names,
    chunkRequests,
    cutOffs,
    servedUploads,
    readyViolations,
    run,
    now,
    originRequests: () =>
      chunkRequests.filter(request => request.from === 'origin'),
  };
}
