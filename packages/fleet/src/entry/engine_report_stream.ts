import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Milliseconds} from '@hibiscusbeam/core';
import {every, handlePeerMessages, type Log} from '@hibiscusbeam/daemon';
import type {EngineReport, EngineReportReply} from '@hibiscusbeam/wire';

/**
 * Interval between replies, which show the agent that its reports arrive. An
 * agent gives a stream up after 2.2 s; the rest of that time is for an event
 * loop that runs late.
 */
const REPLY_PERIOD: Milliseconds = 1_500;

/** A stream of engine reports, with replies in the other direction. */
export type ReportCall = ServerDuplexStream<EngineReport, EngineReportReply>;

/** Receives the reports of agents and sends them updates. */
export interface EngineReportStreams {
  readonly handleStream: (call: ReportCall) => void;
  /** Sends an update to all agents at once. */
  readonly sendToAll: () => void;
}

/**
 * Creates the server side of the streams, which runs until the signal aborts.
 * `createUpdate` builds the reply that agents are sent.
 */
export function createEngineReportStreams(
  take: (report: EngineReport) => void,
  createUpdate: () => EngineReportReply,
  log: Log,
  signal: AbortSignal,
): EngineReportStreams {
  /** Digest of the services that were last sent on each stream. */
  const sentDigests = new Map<ReportCall, number | undefined>();
  signal.addEventListener('abort', every(REPLY_PERIOD, sendToAll));

  function sendUpdate(call: ReportCall): void {
    if (!call.writable) return;
    const {services, ...update} = createUpdate();
    const isSent = sentDigests.get(call) === update.servicesDigest;
    if (services !== undefined) sentDigests.set(call, update.servicesDigest);
    call.write({...update, services: isSent ? undefined : services});
  }

  function sendToAll(): void {
    for (const call of sentDigests.keys()) sendUpdate(call);
  }

  function handleStream(call: ReportCall): void {
    const forget = (): void => void sentDigests.delete(call);
    handlePeerMessages(call, log, (report: EngineReport) => {
      take(report);
      if (sentDigests.has(call)) return;
      sentDigests.set(call, undefined);
      sendUpdate(call);
    });
    call.on('end', () => {
      forget();
      call.end();
    });
    call.on('error', forget);
    call.on('cancelled', forget);
    call.on('close', forget);
  }

  return {handleStream, sendToAll};
}
