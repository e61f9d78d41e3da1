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

/** Longest simulated time before a mesh counts as stuck, in milliseconds. */
const MAX_RUN_MS = 900_000;

/** Pure swarm nodes joined by links that lose, delay, double and cross. */
export function createMesh(options: MeshOptions) {
  const {
    now,
    randomBelow: draw,
    schedule: later,
    runUntil,
  } = createMeshClock(options.seed);
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
  const nodes: MeshNode[] = names.map((instance, place) => {
    const zone = `zone-${place % (options.zones ?? 2)}`;
    return {
      instance,
      zone,
      node: createNode(instance, zone, place),
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

  /** Delivers to one life of a node; a frozen node gets it when it wakes. */
  function dispatch(place: number, life: number, event: SwarmEvent): void {
    const target = nodes[place]!;
    if (!target.alive || target.agentIncarnation !== life) return;
    if (target.frozenUntil > now()) {
      if (target.frozenUntil === Infinity) return;
      later(target.frozenUntil - now(), () => dispatch(place, life, event));
      return;
    }
    for (const effect of target.node.handle(event, now())) {
      runEffect(place, effect);
    }
    const at = target.node.nextWakeUp();
    if (at === undefined || at === target.wakeUp) return;
    target.wakeUp = at;
    later(Math.max(1, at - now()), () => {
      target.wakeUp = Infinity;
      dispatch(place, life, {kind: 'tick'});
    });
  }

  function deliver(
    place: number,
    life: number,
    transfer: number,
    digest: Digest,
    good: boolean,
  ): void {
    const isBad = !good || consumeFault('corrupt');
    const other = [...options.versions[0]!.content.keys()][0]!;
    const arriving = consumeFault('cross') ? other : digest;
    const bytes = isBad ? 'bad' : arriving;
    const times = consumeFault('double') ? 2 : 1;
    const delay = consumeFault('late') ? 20_000 : 5 + draw(20);
    for (let time = 0; time < times; time += 1) {
      later(delay + time * 50, () => {
        nodes[place]!.pieces.set(transfer, bytes);
        dispatch(place, life, {
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
    place: number,
    life: number,
    transfer: number,
    failure: RequestFailure,
  ): void {
    const event = {kind: 'requestFailed', transfer, failure} as const;
    later(2 + draw(5), () => dispatch(place, life, event));
  }

  function runEffect(place: number, effect: SwarmEffect): void {
    const own = nodes[place]!;
    const life = own.agentIncarnation;
    switch (effect.kind) {
      case 'askOrigin': {
        const {transfer, digest} = effect;
        chunkRequests.push({at: now(), by: place, from: 'origin', digest});
        if (originDownUntil > now()) {
          fail(place, life, transfer, {kind: 'unavailable'});
        } else deliver(place, life, transfer, digest, true);
        return;
      }
      case 'askNeighbour': {
        const {transfer, digest, neighbour} = effect;
        chunkRequests.push({at: now(), by: place, from: neighbour, digest});
        const sender = names.indexOf(neighbour);
        later(1 + draw(5), () => {
          const target = nodes[sender]!;
          if (!target.alive) {
            fail(place, life, transfer, {kind: 'unavailable'});
            return;
          }
          const upload = nextUpload;
          nextUpload += 1;
          uploads.set(`${sender}:${upload}`, {
            by: place,
            life,
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
        const upload = uploads.get(`${place}:${effect.upload}`)!;
        const good = options.badSenders?.includes(place) !== true;
        servedUploads.push({by: upload.by, from: own.instance});
        deliver(upload.by, upload.life, upload.transfer, upload.digest, good);
        const reads = nodes[upload.by]!.frozenUntil <= now();
        if (!reads) return;
        const ended = {kind: 'uploadEnded', upload: effect.upload} as const;
        later(25, () => dispatch(place, life, ended));
        return;
      }
      case 'refuseUpload': {
        const upload = uploads.get(`${place}:${effect.upload}`)!;
        fail(upload.by, upload.life, upload.transfer, effect.failure);
        return;
      }
      case 'storeChunk': {
        const bytes = own.pieces.get(effect.transfer)!;
        const {digest, life: storeLife} = effect;
        later(1 + draw(20), () => {
          own.store.set(digest, bytes);
          const stored = {
            kind: 'chunkStored',
            digest,
            life: storeLife,
          } as const;
          later(1 + draw(20), () => dispatch(place, life, stored));
        });
        return;
      }
      case 'announce': {
        const {versionDigest, gained} = effect;
        for (const neighbour of effect.neighbours) {
          const target = names.indexOf(neighbour);
          const targetLife = nodes[target]!.agentIncarnation;
          const have = {
            kind: 'neighbourHave',
            neighbour: own.instance,
            versionDigest,
            gained,
          } as const;
          later(3, () => dispatch(target, targetLife, have));
        }
        return;
      }
      case 'ready':
        return checkReady(own, effect.versionDigest);
      case 'cutOff':
        cutOffs.push({by: place, neighbour: effect.neighbour});
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

  function startNode(place: number): void {
    const own = nodes[place]!;
    const life = own.agentIncarnation;
    dispatch(place, life, {kind: 'membersChanged', members: nodes});
    reportHeld(place);
    want(place, options.versions[current]!);
  }

  function reportHeld(place: number): void {
    const own = nodes[place]!;
    const report = {
      kind: 'heldReported',
      life: String(own.storeIncarnation),
      digests: [...own.store.keys()],
    } as const;
    dispatch(place, own.agentIncarnation, report);
  }

  function want(place: number, version: GeneratedVersion): void {
    dispatch(place, nodes[place]!.agentIncarnation, {
      kind: 'versionWanted',
      versionDigest: version.versionDigest,
      manifest: version.manifest,
      prefer: options.prefer ?? 'origin-bytes',
      holders: names,
    });
  }

  function endSession(place: number, other: number): void {
    const own = nodes[place]!;
    const life = own.agentIncarnation;
    const neighbour = names[other]!;
    later(2, () => dispatch(place, life, {kind: 'neighbourGone', neighbour}));
    later(50, () => {
      if (!nodes[other]!.alive) return;
      dispatch(place, life, {kind: 'neighbourConnected', neighbour});
    });
  }

  function loseSessions(place: number): void {
    names.forEach((_name, other) => {
      if (other !== place) endSession(other, place);
    });
  }

  /**
   * Freezes overlap: the later end counts. What reaches a node that is frozen
   * for ever is lost, so such a freeze must not be cut short by another one.
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
        later(10 + draw(100), () => startNode(fault.node));
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
        nodes.forEach((_node, place) => {
          later(draw(200), () => {
            const life = nodes[place]!.agentIncarnation;
            dispatch(place, life, {kind: 'versionSuperseded', versionDigest});
            want(place, options.versions[current]!);
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
    names.forEach((_name, place) => later(draw(10), () => startNode(place)));
    let left = faults.length;
    for (const {at, fault} of faults) {
      later(at, () => {
        left -= 1;
        inject(fault);
      });
    }
    return runUntil(() => left === 0 && isDone(), MAX_RUN_MS);
  }

  return {
    nodes,
    names,
    asks: chunkRequests,
    cutOffs,
    served: servedUploads,
    wrongReady: readyViolations,
    run,
    now,
    originRequests: () => chunkRequests.filter(ask => ask.from === 'origin'),
  };
}
