import type {ClientDuplexStream} from '@grpc/grpc-js';
import {
  createSilentPeers,
  reportReceivers,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {
  EngineReport,
  EngineReportReply,
  VersionNaming,
} from '@hibiscusbeam/wire';
import {createEntryChannels} from '../link/channels';
import type {EngineStanding, MemberDescription} from '../ports';

/** Period of reports to entries of the own zone, which send here most. */
const NEAR_PERIOD: Milliseconds = 100;

/** Period of reports to entries of other zones; bytes between zones cost. */
const FAR_PERIOD: Milliseconds = 300;

/** Time without a reply after which a stream counts as silent. */
const LONGEST_SILENCE: Milliseconds = 2_200;

/** Pause before a broken stream is opened again. */
const REOPEN_PAUSE: Milliseconds = 300;

/**
 * Period in which the receivers are chosen anew: one that fell silent is replaced
 * within it, of the 2 s that a report may be old.
 */
const CHOOSE_PERIOD: Milliseconds = 500;

/** Sends the engine's standing to the entries. */
export interface EngineReports {
  readonly setMembers: (members: readonly MemberDescription[]) => void;
  /** Takes the newest standing; sends it where it is time or it matters. */
  readonly offer: (
    standing: EngineStanding,
    loadsIn: Milliseconds | undefined,
  ) => void;
}

/** What the sender of reports needs. */
export interface EngineReportsOptions {
  /** `IP:port` of the engine. */
  readonly engineAddress: string;
  readonly zone: string;
  /** Versions that the operator has named lately. */
  readonly namings: () => VersionNaming[];
  readonly clock: Clock;
  readonly onReply: (reply: EngineReportReply) => void;
}

type ReportStream = ClientDuplexStream<EngineReport, EngineReportReply>;

interface ReportedEntry {
  readonly life: string;
  readonly address: string;
  readonly period: Milliseconds;
  stream: ReportStream | undefined;
  sentAt: number;
  sentState: string;
  repliedAt: number;
  brokenAt: number;
}

/** Creates the sender of reports on an engine. */
export function createEngineReports(
  options: EngineReportsOptions,
): EngineReports {
  const {clock} = options;
  const channels = createEntryChannels();
  const silent = createSilentPeers();
  let members: readonly MemberDescription[] = [];
  let entries = new Map<string, ReportedEntry>();
  let sequence = 0;
  let chosenAt = -Infinity;

  function setMembers(next: readonly MemberDescription[]): void {
    members = next.filter(({role}) => role === 'entry');
    chooseReceivers();
  }

  function chooseReceivers(): void {
    const now = clock();
    chosenAt = now;
    const next = new Map<string, ReportedEntry>();
    const receivers = reportReceivers(members, ({life}) =>
      silent.isSilent(life, now),
    );
    for (const member of receivers) {
      const {life} = member;
      next.set(life, entries.get(life) ?? createReported(member));
    }
    for (const [life, entry] of entries) {
      if (!next.has(life)) entry.stream?.end();
    }
    entries = next;
    channels.keep(new Set([...next.values()].map(({address}) => address)));
  }

  function createReported({
    life,
    address,
    zone,
  }: MemberDescription): ReportedEntry {
    return {
      life,
      address,
      period: zone === options.zone ? NEAR_PERIOD : FAR_PERIOD,
      stream: undefined,
      sentAt: -Infinity,
      sentState: '',
      repliedAt: 0,
      brokenAt: -Infinity,
    };
  }

  function offer(
    standing: EngineStanding,
    loadsIn: Milliseconds | undefined,
  ): void {
    const now = clock();
    sequence += 1;
    if (now - chosenAt >= CHOOSE_PERIOD) chooseReceivers();
    const {held, ordering, running, waiting, pace, born, memoryShare} =
      standing;
    const state = JSON.stringify({held, ordering, born});
    const report: EngineReport = {
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
    for (const entry of entries.values()) {
      const isDue = now - entry.sentAt >= entry.period - 5;
      if (state === entry.sentState && !isDue) continue;
      send(entry, report, state, now);
    }
  }

  function send(
    entry: ReportedEntry,
    report: EngineReport,
    state: string,
    now: MonotonicInstant,
  ): void {
    // Failure: an open connection falls silent for good, and entries go by an
    // old standing. Replies come every second; without them it is opened anew.
    if (entry.stream && now - entry.repliedAt > LONGEST_SILENCE) {
      lose(entry);
      channels.drop(entry.address);
    }
    const isNew = entry.stream === undefined;
    entry.stream ??= open(entry);
    if (entry.stream === undefined) return;
    entry.sentAt = now;
    entry.sentState = state;
    // Old reports are of no use, so they don't queue behind a full window.
    if (entry.stream.writableLength > 0) return;
    const namings = isNew ? options.namings() : [];
    entry.stream.write({...report, namings});
  }

  function open(entry: ReportedEntry): ReportStream | undefined {
    if (clock() - entry.brokenAt < REOPEN_PAUSE) return undefined;
    const stream = channels.at(entry.address).reportEngine();
    entry.repliedAt = clock();
    stream.on('data', (reply: EngineReportReply) => {
      // Not the time of the last report: a silent engine has none.
      entry.repliedAt = clock();
      options.onReply(reply);
    });
    stream.on('error', () => {
      if (entry.stream === stream) lose(entry);
    });
    stream.on('end', () => {
      if (entry.stream === stream) lose(entry);
    });
    return stream;
  }

  function lose(entry: ReportedEntry): void {
    entry.stream?.cancel();
    entry.stream = undefined;
    entry.brokenAt = clock();
    silent.note(entry.life, entry.brokenAt);
  }

  return {setMembers, offer};
}
