import type {
  Bytes,
  Digest,
  Milliseconds,
  RequestFailure,
  SwarmEvent,
  TransferId,
  UploadId,
} from '@hibiscusbeam/core';
import {createLink} from './link';
import {isFrozen, type LinkedAgent} from './linked_agent';
import type {SwarmSite} from './swarm_site';
import type {VirtualClock} from './virtual_clock';

/** Time in which the origin refuses while it is away. */
const REFUSAL_TIME: Milliseconds = 1;

/** A chunk that an agent asks for. */
export interface ChunkRequest {
  readonly by: LinkedAgent;
  readonly transfer: TransferId;
  readonly digest: Digest;
}

/** Moves chunks over the links of a site. */
export interface ChunkTransfers {
  readonly askOrigin: (request: ChunkRequest) => void;
  readonly askNeighbour: (
    request: ChunkRequest,
    neighbour: LinkedAgent,
  ) => void;
  readonly startUpload: (upload: UploadId) => void;
  readonly refuseUpload: (upload: UploadId, failure: RequestFailure) => void;
}

/** What moving chunks needs. */
export interface ChunkTransfersOptions {
  readonly site: SwarmSite;
  readonly clock: VirtualClock;
  /** Tells an agent's swarm node what happens to it. */
  readonly tell: (agent: LinkedAgent, event: SwarmEvent) => void;
}

interface Upload {
  readonly from: LinkedAgent;
  readonly request: ChunkRequest;
}

/** Creates the transfers of a site, with none under way. */
export function createChunkTransfers({
  site,
  clock,
  tell,
}: ChunkTransfersOptions): ChunkTransfers {
  const originLink = createLink(site.originRate);
  const uploads = new Map<UploadId, Upload>();

  const pieceAfter = (sent: Bytes): Bytes =>
    Math.min(site.policy.pieceSize, site.chunkSize - sent);

  const isCancelled = ({by, transfer}: ChunkRequest): boolean =>
    by.cancelled.has(transfer);

  function latency(from: LinkedAgent, to: LinkedAgent): Milliseconds {
    return site.latency(from.description.zone, to.description.zone);
  }

  function fail(
    {by, transfer}: ChunkRequest,
    failure: RequestFailure,
    delay: Milliseconds,
  ): void {
    clock.later(delay, () =>
      tell(by, {kind: 'requestFailed', transfer, failure}),
    );
  }

  function askOrigin(request: ChunkRequest): void {
    if (clock.now() >= site.originFrom) return sendFromOrigin(request, 0);
    fail(request, {kind: 'unavailable'}, REFUSAL_TIME);
  }

  function sendFromOrigin(request: ChunkRequest, sent: Bytes): void {
    if (isCancelled(request)) return;
    const bytes = pieceAfter(sent);
    request.by.originBytes += bytes;
    const through = originLink.carry(bytes, clock.now());
    clock.later(through - clock.now(), () => {
      receive(request, bytes, sent + bytes);
      if (sent + bytes < site.chunkSize) sendFromOrigin(request, sent + bytes);
    });
  }

  function askNeighbour(request: ChunkRequest, from: LinkedAgent): void {
    const {by, digest} = request;
    clock.later(latency(by, from), () => {
      const upload = uploads.size + 1;
      uploads.set(upload, {from, request});
      const neighbour = by.description.instance;
      tell(from, {kind: 'uploadAsked', upload, neighbour, digest});
    });
  }

  /** Sends an upload's next piece once the sender's pace lets it. */
  function send(id: UploadId, {from, request}: Upload, sent: Bytes): void {
    if (isFrozen(from, clock.now())) return;
    if (isCancelled(request)) {
      return tell(from, {kind: 'uploadEnded', upload: id});
    }
    const bytes = pieceAfter(sent);
    const paced = from.upPace.reserve(bytes, clock.now());
    clock.later(paced - clock.now(), () => {
      carry(from, request, bytes, sent + bytes);
      tell(from, {kind: 'uploadProgress', upload: id});
      if (sent + bytes < site.chunkSize) {
        send(id, {from, request}, sent + bytes);
      } else tell(from, {kind: 'uploadEnded', upload: id});
    });
  }

  /** Carries a piece over the sender's link and to the other machine. */
  function carry(
    from: LinkedAgent,
    request: ChunkRequest,
    bytes: Bytes,
    received: Bytes,
  ): void {
    const {by: to} = request;
    if (to.description.zone !== from.description.zone) {
      to.crossZoneBytes += bytes;
    }
    const through = from.upLink.carry(bytes, clock.now());
    const arrival = through - clock.now() + latency(from, to);
    clock.later(arrival, () => receive(request, bytes, received));
  }

  function receive(request: ChunkRequest, bytes: Bytes, received: Bytes): void {
    const {by, transfer, digest} = request;
    const through = by.downLink.carry(bytes, clock.now());
    clock.later(through - clock.now(), () => {
      const paced = by.downPace.reserve(bytes, clock.now());
      clock.later(paced - clock.now(), () => {
        if (isCancelled(request)) return;
        if (received < site.chunkSize) {
          return tell(by, {kind: 'progress', transfer, bytes});
        }
        tell(by, {kind: 'chunkArrived', transfer, digest, verified: true});
      });
    });
  }

  return {
    askOrigin,
    askNeighbour,
    startUpload: id => {
      const upload = uploads.get(id);
      if (upload !== undefined) send(id, upload, 0);
    },
    refuseUpload: (id, failure) => {
      const upload = uploads.get(id);
      if (upload === undefined) return;
      const {from, request} = upload;
      fail(request, failure, latency(from, request.by));
    },
  };
}
