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
import {isUnresponsive, type SimulatedAgent} from './simulated_agent';
import type {SwarmSite} from './swarm_site';
import type {VirtualClock} from './virtual_clock';

/** Time in which the origin refuses a request while it is unavailable. */
const REFUSAL_DELAY: Milliseconds = 1;

/** A request of an agent for a chunk. */
export interface ChunkRequest {
  readonly requester: SimulatedAgent;
  readonly transfer: TransferId;
  readonly digest: Digest;
}

/** Transfers chunks over the links of a site. */
export interface ChunkTransfers {
  readonly requestFromOrigin: (request: ChunkRequest) => void;
  readonly requestFromNeighbour: (
    request: ChunkRequest,
    neighbour: SimulatedAgent,
  ) => void;
  readonly startUpload: (upload: UploadId) => void;
  readonly refuseUpload: (upload: UploadId, failure: RequestFailure) => void;
}

/** Options of {@link createChunkTransfers}. */
export interface ChunkTransfersOptions {
  readonly site: SwarmSite;
  readonly clock: VirtualClock;
  /** Passes an event to an agent's swarm node. */
  readonly dispatch: (agent: SimulatedAgent, event: SwarmEvent) => void;
}

interface Upload {
  readonly from: SimulatedAgent;
  readonly request: ChunkRequest;
}

/** Creates the transfers of a site, with none in flight. */
export function createChunkTransfers({
  site,
  clock,
  dispatch,
}: ChunkTransfersOptions): ChunkTransfers {
  const originLink = createLink(site.originRate);
  const uploads = new Map<UploadId, Upload>();

  const nextPieceSize = (sent: Bytes): Bytes =>
    Math.min(site.policy.pieceSize, site.chunkSize - sent);

  const isCancelled = ({requester, transfer}: ChunkRequest): boolean =>
    requester.cancelled.has(transfer);

  function latency(from: SimulatedAgent, to: SimulatedAgent): Milliseconds {
    return site.latency(from.description.zone, to.description.zone);
  }

  function failRequest(
    {requester, transfer}: ChunkRequest,
    failure: RequestFailure,
    delay: Milliseconds,
  ): void {
    clock.schedule(delay, () =>
      dispatch(requester, {kind: 'requestFailed', transfer, failure}),
    );
  }

  function requestFromOrigin(request: ChunkRequest): void {
    if (clock.now() >= site.originStartsAt) return sendFromOrigin(request, 0);
    failRequest(request, {kind: 'unavailable'}, REFUSAL_DELAY);
  }

  function sendFromOrigin(request: ChunkRequest, sent: Bytes): void {
    if (isCancelled(request)) return;
    const bytes = nextPieceSize(sent);
    request.requester.originBytes += bytes;
    const transmittedAt = originLink.transmit(bytes, clock.now());
    clock.schedule(transmittedAt - clock.now(), () => {
      receivePiece(request, bytes, sent + bytes);
      if (sent + bytes < site.chunkSize) sendFromOrigin(request, sent + bytes);
    });
  }

  function requestFromNeighbour(
    request: ChunkRequest,
    from: SimulatedAgent,
  ): void {
    const {requester, digest} = request;
    clock.schedule(latency(requester, from), () => {
      const upload = uploads.size + 1;
      uploads.set(upload, {from, request});
      const neighbour = requester.description.instance;
      dispatch(from, {kind: 'uploadAsked', upload, neighbour, digest});
    });
  }

  /** Sends an upload's next piece once the sender's pacer allows it. */
  function sendNextPiece(
    id: UploadId,
    {from, request}: Upload,
    sent: Bytes,
  ): void {
    if (isUnresponsive(from, clock.now())) return;
    if (isCancelled(request)) {
      return dispatch(from, {kind: 'uploadEnded', upload: id});
    }
    const bytes = nextPieceSize(sent);
    const allowedAt = from.uploadPacer.reserve(bytes, clock.now());
    clock.schedule(allowedAt - clock.now(), () => {
      transmitPiece(from, request, bytes, sent + bytes);
      dispatch(from, {kind: 'uploadProgress', upload: id});
      if (sent + bytes < site.chunkSize) {
        sendNextPiece(id, {from, request}, sent + bytes);
      } else dispatch(from, {kind: 'uploadEnded', upload: id});
    });
  }

  /** Sends a piece over the sender's link to the requester's machine. */
  function transmitPiece(
    from: SimulatedAgent,
    request: ChunkRequest,
    bytes: Bytes,
    received: Bytes,
  ): void {
    const {requester: to} = request;
    if (to.description.zone !== from.description.zone) {
      to.crossZoneBytes += bytes;
    }
    const transmittedAt = from.uplink.transmit(bytes, clock.now());
    const arrival = transmittedAt - clock.now() + latency(from, to);
    clock.schedule(arrival, () => receivePiece(request, bytes, received));
  }

  function receivePiece(
    request: ChunkRequest,
    bytes: Bytes,
    received: Bytes,
  ): void {
    const {requester, transfer, digest} = request;
    const transmittedAt = requester.downlink.transmit(bytes, clock.now());
    clock.schedule(transmittedAt - clock.now(), () => {
      const allowedAt = requester.downloadPacer.reserve(bytes, clock.now());
      clock.schedule(allowedAt - clock.now(), () => {
        if (isCancelled(request)) return;
        if (received < site.chunkSize) {
          return dispatch(requester, {kind: 'progress', transfer, bytes});
        }
        dispatch(requester, {
          kind: 'chunkArrived',
          transfer,
          digest,
          verified: true,
        });
      });
    });
  }

  return {
    requestFromOrigin,
    requestFromNeighbour,
    startUpload: id => {
      const upload = uploads.get(id);
      if (upload !== undefined) sendNextPiece(id, upload, 0);
    },
    refuseUpload: (id, failure) => {
      const upload = uploads.get(id);
      if (upload === undefined) return;
      const {from, request} = upload;
      failRequest(request, failure, latency(from, request.requester));
    },
  };
}
