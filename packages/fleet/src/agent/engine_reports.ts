import type {ClientDuplexStream} from '@grpc/grpc-js';
import {
  createSilentPeers,
  isReportDue,
  reportReceivers,
  type Milliseconds,
  type MonotonicInstant,
  type ReportedState,
} from '@hibiscusbeam/core';
import {handlePeerMessages, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {
  EngineReport,
  EngineReportReply,
  VersionNaming,
} from '@hibiscusbeam/wire';
import {createEntryChannels} from '../link/channels';
import type {EngineStatus, MemberDescription} from '../ports';

/**
 * Period in which the sequence is incremented, whether or not a report is sent.
 */
const SEQUENCE_PERIOD: Milliseconds = 100;

/** Sequences have 32 bits on the wire. */
const SEQUENCE_MODULUS = 2 ** 32;

/** Time without a reply after which a stream counts as silent. */
const MAX_SILENCE: Milliseconds = 2_200;

/** Pause before a broken stream is opened again. */
const REOPEN_PAUSE: Milliseconds = 300;

/**
 * Period in which the receivers are chosen again. A receiver that fell silent
 * is replaced within it, which is part of the 2 s that a report may be old.
 */
const RECEIVER_CHOICE_PERIOD: Milliseconds = 500;

/** Sends the engine's status to the entries. */
export interface EngineReports {
  readonly setMembers: (members: readonly MemberDescription[]) => void;
  /**
   * Takes the newest status and sends it to each receiver for which a report is
   * due.
   */
  readonly offer: (
    status: EngineStatus,
    loadsIn: Milliseconds | undefined,
  ) => void;
}

/** Options of {@link createEngineReports}. */
export interface EngineReportsOptions {
  /** `IP:port` of the engine. */
  readonly engineAddress: string;
  readonly zone: string;
  /** Versions that the operator has named recently. */
  readonly namings: () => VersionNaming[];
  readonly clock: Clock;
  readonly log: Log;
  readonly onReply: (reply: EngineReportReply) => void;
}

type ReportStream = ClientDuplexStream<EngineReport, EngineReportReply>;

interface ReportReceiverState {
  readonly life: string;
  readonly address: string;
  getsAll: boolean;
  stream: ReportStream | undefined;
  sentAt: number;
  /** The last state sent on the stream. */
  sent: ReportedState | undefined;
  repliedAt: number;
  brokenAt: number;
}

/** Creates the sender of reports of an engine. */
export function createEngineReports(
  options: EngineReportsOptions,
): EngineReports {
  const {clock} = options;
  const channels = createEntryChannels();
  const silent = createSilentPeers();
  let members: readonly MemberDescription[] = [];
  let entries = new Map<string, ReportReceiverState>();
  const startedAt = clock();
  // Based on the wall clock, so that the sequence of a restarted agent
  // continues.
  const firstSequence =
    Math.floor(Date.now() / SEQUENCE_PERIOD) % SEQUENCE_MODULUS;
  let sequence = 0;
  let chosenAt = -Infinity;

  function setMembers(next: readonly MemberDescription[]): void {
    members = next.filter(({role}) => role === 'entry');
    chooseReceivers();
  }

  function chooseReceivers(): void {
    const now = clock();
    chosenAt = now;
    const next = new Map<string, ReportReceiverState>();
    const receivers = reportReceivers(members, options.zone, ({life}) =>
      silent.isSilent(life, now),
    );
    for (const {entry: member, getsAll} of receivers) {
      const {life} = member;
      const reported = entries.get(life) ?? createReceiver(member);
      reported.getsAll = getsAll;
      next.set(life, reported);
    }
    for (const [life, entry] of entries) {
      if (!next.has(life)) entry.stream?.end();
    }
    entries = next;
    channels.retain(new Set([...next.values()].map(({address}) => address)));
  }

  function createReceiver({
    life,
    address,
  }: MemberDescription): ReportReceiverState {
    return {
      life,
      address,
      getsAll: false,
      stream: undefined,
      sentAt: -Infinity,
      sent: undefined,
      repliedAt: 0,
      brokenAt: -Infinity,
    };
  }

  /**
   * The sequence also grows with time, so that entries agree on turns between
   * reports.
   */
  function nextSequence(now: MonotonicInstant): number {
    const passed = Math.floor((now - startedAt) / SEQUENCE_PERIOD);
    return Math.max(sequence + 1, (firstSequence + passed) % SEQUENCE_MODULUS);
  }

  function offer(
    status: EngineStatus,
    loadsIn: Milliseconds | undefined,
  ): void {
    const now = clock();
    sequence = nextSequence(now);
    if (now - chosenAt >= RECEIVER_CHOICE_PERIOD) chooseReceivers();
    const loadsAt = loadsIn === undefined ? undefined : now + loadsIn;
    const next: ReportedState = {...status, loadsAt};
    let report: EngineReport | undefined;
    for (const entry of entries.values()) {
      closeSilentStream(entry, now);
      const {getsAll, sent: before, sentAt} = entry;
      const since = now - sentAt;
      if (!isReportDue({getsAll, before, next, since})) continue;
      report ??= createReport(status, loadsIn);
      send(entry, report, next, now);
    }
  }

  /**
   * Closes a stream without replies. An open connection may fall silent
   * permanently, and entries would use an outdated status. Replies come every
   * 1.5 s; without them, the connection is opened again.
   */
  function closeSilentStream(
    entry: ReportReceiverState,
    now: MonotonicInstant,
  ): void {
    if (entry.stream && now - entry.repliedAt > MAX_SILENCE) {
      handleLoss(entry);
      channels.drop(entry.address);
    }
  }

  function createReport(
    status: EngineStatus,
    loadsIn: Milliseconds | undefined,
  ): EngineReport {
    const {held, ordering, running, waiting, pace, born, memoryShare} = status;
    return {
      engineAddress: options.engineAddress,
      loaded: held.map(({model, version}) => ({model, version})),
      ordering,
      running,
      waiting,
      pace,
      sequence,
      namings: [],
      born,
      memoryShare,
      loadsInMilliseconds:
        loadsIn === undefined ? undefined : Math.max(0, Math.round(loadsIn)),
    };
  }

  function send(
    entry: ReportReceiverState,
    report: EngineReport,
    state: ReportedState,
    now: MonotonicInstant,
  ): void {
    const isNew = entry.stream === undefined;
    entry.stream ??= open(entry);
    if (entry.stream === undefined) return;
    // Old reports are useless, so they are not queued behind a full window.
    if (entry.stream.writableLength > 0) return;
    entry.sentAt = now;
    entry.sent = state;
    const namings = isNew ? options.namings() : [];
    entry.stream.write({...report, namings});
  }

  function open(entry: ReportReceiverState): ReportStream | undefined {
    if (clock() - entry.brokenAt < REOPEN_PAUSE) return undefined;
    const stream = channels.at(entry.address).reportEngine();
    entry.repliedAt = clock();
    handlePeerMessages(stream, options.log, (reply: EngineReportReply) => {
      // Not the time of the last report, since a silent engine produces none.
      entry.repliedAt = clock();
      options.onReply(reply);
    });
    stream.on('error', () => {
      if (entry.stream === stream) handleLoss(entry);
    });
    stream.on('end', () => {
      if (entry.stream === stream) handleLoss(entry);
    });
    return stream;
  }

  function handleLoss(entry: ReportReceiverState): void {
    entry.stream?.cancel();
    entry.stream = undefined;
    entry.sent = undefined;
    entry.brokenAt = clock();
    silent.record(entry.life, entry.brokenAt);
    // From the next poll on, the next receiver in order gets each report.
    chosenAt = -Infinity;
  }

  return {setMembers, offer};
}
