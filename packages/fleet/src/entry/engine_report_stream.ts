import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Milliseconds} from '@hibiscusbeam/core';
import {every} from '@hibiscusbeam/daemon';
import type {EngineReport, EngineReportReply} from '@hibiscusbeam/wire';

/**
 * Period of replies, which show the agent that its reports arrive. An agent gives
 * a stream up after 2.2 s; what is left of them is for a loop that runs late.
 */
const REPLY_PERIOD: Milliseconds = 1_500;

/** A stream of reports, with replies in the other direction. */
export type ReportCall = ServerDuplexStream<EngineReport, EngineReportReply>;

/** Takes agents' reports, and tells agents what is new. */
export interface EngineReportStreams {
  readonly handleStream: (call: ReportCall) => void;
  /** Tells all agents at once. */
  readonly sendToAll: () => void;
}

/**
 * Creates the streams' other end, until the signal aborts; `news` is what agents
 * are told.
 */
export function createEngineReportStreams(
  take: (report: EngineReport) => void,
  createUpdate: () => EngineReportReply,
  signal: AbortSignal,
): EngineReportStreams {
  const calls = new Set<ReportCall>();
  signal.addEventListener('abort', every(REPLY_PERIOD, sendToAll));

  function sendUpdate(call: ReportCall): void {
    if (call.writable) call.write(createUpdate());
  }

  function sendToAll(): void {
    for (const call of calls) sendUpdate(call);
  }

  function handleStream(call: ReportCall): void {
    const forget = (): void => void calls.delete(call);
    call.on('data', (report: EngineReport) => {
      take(report);
      if (calls.has(call)) return;
      calls.add(call);
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
