import {causeName, causeText} from './cause_text';
import type {LogLine} from './log_lines';
import {isFailure, requestEndOf, type RequestEnd} from './request_end';

/** Messages that show an entry's configuration and its list of targets. */
const STATE_MESSAGES = [
  '[configuration] configuration in force',
  '[configuration] operator feed lost',
  '[configuration] operator feed regained',
  '[configuration] version named',
  '[routing] list of targets lost',
  '[routing] list of targets regained',
];

/** Matches the instance and address of the target in a logged attempt. */
const ATTEMPT_TARGET_PATTERN = /ms (\S+) (\S+:\d+)/;

/**
 * Traces one request in the log of the entry that handled it: the entry's
 * configuration and target list, its attempts, and the status of their targets.
 *
 * Lines of several files are not ordered by time, since the clocks of processes
 * differ.
 */
export function* traceRequest(
  lines: readonly LogLine[],
  request: string,
): Generator<string> {
  const ends = lines
    .map(requestEndOf)
    .filter(end => end !== undefined)
    .filter(end => end.request === request);
  for (const end of ends) {
    const entryLines = lines.filter(({source}) => source === end.line.source);
    yield* traceEnd(entryLines, end);
    yield* traceTargets(entryLines, end);
    yield `Cause: ${causeText(end)}`;
  }
}

function* traceEnd(
  entryLines: readonly LogLine[],
  end: RequestEnd,
): Generator<string> {
  const {source, time} = end.line;
  yield `${source}:`;
  const before = entryLines.slice(0, entryLines.indexOf(end.line));
  for (const stateMessage of STATE_MESSAGES) {
    const last = before.findLast(({message}) => message === stateMessage);
    if (last !== undefined) yield `  ${formatLine(last)}`;
  }
  if (end.kind === 'forwarded') {
    for (const attempt of end.attempts) yield `  attempt: ${attempt}`;
  }
  yield `  ${time} ended: ${causeName(end)}`;
}

/**
 * Last logged status of each target before the request's end, and the first
 * one after it.
 */
function* traceTargets(
  entryLines: readonly LogLine[],
  end: RequestEnd,
): Generator<string> {
  if (end.kind !== 'forwarded') return;
  const endIndex = entryLines.indexOf(end.line);
  const targets = end.attempts.map(
    attempt => ATTEMPT_TARGET_PATTERN.exec(attempt)?.[1],
  );
  for (const target of new Set(targets)) {
    const concernsTarget = ({message, fields}: LogLine): boolean =>
      message.startsWith('[routing] target') && fields['instance'] === target;
    const before = entryLines.slice(0, endIndex).findLast(concernsTarget);
    const after = entryLines.slice(endIndex).find(concernsTarget);
    if (before !== undefined) yield `  ${formatLine(before)}`;
    if (after !== undefined) yield `  ${formatLine(after)}`;
  }
}

function formatLine({time, message, fields}: LogLine): string {
  return `${time} ${message} ${JSON.stringify(fields)}`;
}

/** Counts failed requests by cause, most frequent first. */
export function countFailures(
  lines: readonly LogLine[],
): readonly (readonly [cause: string, count: number])[] {
  const counts = new Map<string, number>();
  for (const line of lines) {
    const end = requestEndOf(line);
    if (end === undefined || !isFailure(end)) continue;
    const name = causeName(end);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].sort(([, one], [, other]) => other - one);
}
