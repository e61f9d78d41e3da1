import type {
  AcceptedConfiguration,
  InstanceName,
  LoadReport,
} from '@hibiscusbeam/core';
import type {TargetReport} from '@hibiscusbeam/wire';
import type {Peer} from '../site/sessions';

/** Progress of the distribution of a version to its instances. */
export interface VersionStatus {
  readonly model: string;
  readonly label: string;
  readonly versionDigest: string;
  readonly instancesDone: number;
  readonly instancesTotal: number;
  readonly chunksHeld: number;
  readonly chunksTotal: number;
  readonly originBytes: number;
  /** Milliseconds until the last instance holds it; null if unknown. */
  readonly expectedEnd: number | null;
}

/** The last reports that an entry received about targets. */
export interface SiteView {
  readonly receiveReport: (peer: Peer, report: TargetReport) => void;
  readonly removeReport: (instance: InstanceName) => void;
  readonly addPeer: (peer: Peer) => void;
  readonly versions: (
    accepted: AcceptedConfiguration,
    now: number,
  ) => readonly VersionStatus[];
}

/** Creates an empty view. */
export function createSiteView(): SiteView {
  const peers = new Map<InstanceName, Peer>();
  const reports = new Map<InstanceName, TargetReport>();
  /** By version, when its chunks were first counted, and their number. */
  const starts = new Map<
    string,
    {readonly at: number; readonly held: number}
  >();

  const reportsOf = (targets: readonly string[]): readonly TargetReport[] =>
    [...peers.values()]
      .filter(peer => targets.includes(peer.target?.name ?? ''))
      .map(peer => reports.get(peer.instance))
      .filter(report => report !== undefined);

  const expectedEnd = (
    versionDigest: string,
    held: number,
    total: number,
    now: number,
  ): number | null => {
    const start = starts.get(versionDigest) ?? {at: now, held};
    starts.set(versionDigest, start);
    const gained = held - start.held;
    if (held >= total || gained <= 0) return null;
    return Math.round(((total - held) * (now - start.at)) / gained);
  };

  return {
    addPeer: peer => void peers.set(peer.instance, peer),
    receiveReport: (peer, report) => void reports.set(peer.instance, report),
    removeReport: instance => void reports.delete(instance),
    versions: ({configuration}, now) =>
      Object.entries(configuration.models).map(([model, described]) => {
        const {versionDigest, label, targets} = described;
        const received = reportsOf(targets);
        const progress = received.flatMap(report =>
          report.progress.filter(line => line.versionDigest === versionDigest),
        );
        const chunksHeld = sum(progress.map(line => line.chunksHeld));
        const chunks = Math.max(0, ...progress.map(line => line.chunksTotal));
        const chunksTotal = chunks * targets.length;
        return {
          model,
          label,
          versionDigest,
          instancesDone: received.filter(report =>
            report.loaded.some(
              loaded => loaded.versionDigest === versionDigest,
            ),
          ).length,
          instancesTotal: targets.length,
          chunksHeld,
          chunksTotal,
          originBytes: sum(progress.map(line => line.originBytes)),
          expectedEnd: expectedEnd(versionDigest, chunksHeld, chunksTotal, now),
        };
      }),
  };
}

/** Converts a target's report for routing; undefined without a target. */
export function loadReportOf(
  peer: Peer,
  report: TargetReport,
  leaving: boolean,
): LoadReport | undefined {
  if (peer.target === undefined) return undefined;
  const {name, service} = peer.target;
  return {
    target: name,
    zone: peer.zone,
    service: service === '' ? undefined : service,
    leaving,
    loaded: report.loaded,
    running: report.running,
    queued: report.queued,
    slots: report.slots,
    age: report.ageMilliseconds,
    cachedPrefixes: report.cachedPrefixes,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
