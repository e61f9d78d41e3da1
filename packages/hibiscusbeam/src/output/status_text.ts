import type {StatusReply, VersionStatus} from '../operator/replies';
import {formatBar, formatBytes, formatSeconds, formatTable} from './text';

const BAR_WIDTH = 20;
const SHOWN_DIGEST_LENGTH = 19;

/**
 * Formats the site's status as a table, with progress bars if `bars` is set.
 */
export function formatStatus(status: StatusReply, bars: boolean): string {
  const header = `Generation ${status.generation}`;
  if (status.versions.length === 0) return `${header}\nNo versions.`;
  const headings = [
    'MODEL',
    'VERSION',
    'DIGEST',
    'INSTANCES',
    'CHUNKS',
    'ORIGIN',
    'EXPECTED END',
  ];
  const rows = status.versions.map(version => [
    version.model,
    version.label,
    version.versionDigest.slice(0, SHOWN_DIGEST_LENGTH),
    `${version.instancesDone}/${version.instancesTotal}`,
    `${version.chunksHeld}/${version.chunksTotal}`,
    formatBytes(version.originBytes),
    describeEnd(version),
    ...(bars ? [formatBar(completedShare(version), BAR_WIDTH)] : []),
  ]);
  const table = formatTable(bars ? [...headings, ''] : headings, rows);
  return `${header}\n${table}`;
}

/** Whether every instance serves every version. */
export function isComplete(status: StatusReply): boolean {
  return status.versions.every(isDone);
}

function isDone(version: VersionStatus): boolean {
  return version.instancesDone >= version.instancesTotal;
}

function describeEnd(version: VersionStatus): string {
  if (isDone(version)) return 'done';
  if (version.expectedEnd === null) return 'not known';
  return `in ${formatSeconds(version.expectedEnd / 1_000)}`;
}

function completedShare(version: VersionStatus): number {
  if (isDone(version)) return 1;
  if (version.chunksTotal === 0) return 0;
  return version.chunksHeld / version.chunksTotal;
}
