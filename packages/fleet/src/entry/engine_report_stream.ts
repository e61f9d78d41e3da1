import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Milliseconds} from '@hibiscusbeam/core';
import {every} from '@hibiscusbeam/daemon';
import type {EngineReport, EngineReportReply} from '@hibiscusbeam/wire';

/** Period of replies, which show the agent that its reports arrive. */
const REPLY_PERIOD: Milliseconds = 1_000;

/** Takes an agent's reports, and tells it of versions that were named. */
export function answerReports(
  call: ServerDuplexStream<EngineReport, EngineReportReply>,
  take: (report: EngineReport) => void,
  news: () => EngineReportReply,
): void {
  let hasTold = false;

  function tell(): void {
    hasTold = true;
    call.write(news());
  }

  const stopTelling = every(REPLY_PERIOD, tell);
  call.on('data', (report: EngineReport) => {
    take(report);
    if (!hasTold) tell();
  });
  call.on('end', () => call.end());
  call.on('error', () => stopTelling());
  call.on('cancelled', () => stopTelling());
  call.on('close', () => stopTelling());
}
