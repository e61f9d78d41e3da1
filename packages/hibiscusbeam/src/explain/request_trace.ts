import {causeName, causeText} from './cause_text';
import type {LogLine} from './log_lines';
import {isFailure, requestEndOf, type RequestEnd} from './request_end';

/** Lines that tell what an entry believed, apart from requests. */
const STATE_MESSAGES = [
  '[configuration] configuration in force',
  '[configuration] operator feed lost',
  '[configuration] operator feed regained',
  '[configuration] version named',
  '[routing] list of targets lost',
  '[routing] list of targets regained',
];

/** Instance and address of an attempt's target, as the entry logs them. */
const ATTEMPT_TARGET_PATTERN = /ms (\S+) (\S+:\d+)/;

/**
 * The story of one request, from the log of the entry that handled it: what the
 * entry believed, what it did, and how its targets stood.
 *
 * Clocks of processes differ, so nothing is put in order by time across files.
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

/** What the list last said of each target before the end, and next after. */
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

/** Failed requests by cause, the most frequent first. */
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
