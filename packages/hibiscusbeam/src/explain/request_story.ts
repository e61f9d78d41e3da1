import {causeName, causeText} from './cause_text';
import type {LogLine} from './log_lines';
import {isFailure, requestEndOf, type RequestEnd} from './request_end';

/** Lines that tell what an entry believed, apart from requests. */
const BELIEFS = [
  '[configuration] configuration in force',
  '[configuration] operator feed lost',
  '[configuration] operator feed regained',
  '[configuration] version named',
  '[routing] list of targets lost',
  '[routing] list of targets regained',
];

/** Instance and address of an attempt's target, as the entry logs them. */
const TARGET = /ms (\S+) (\S+:\d+)/;

/**
 * The story of one request, from the log of the entry that handled it: what the
 * entry believed, what it did, and how its targets stood.
 *
 * Clocks of processes differ, so nothing is put in order by time across files.
 */
export function* tellRequest(
  lines: readonly LogLine[],
  request: string,
): Generator<string> {
  const ends = lines
    .map(requestEndOf)
    .filter(end => end !== undefined)
    .filter(end => end.request === request);
  for (const end of ends) {
    const own = lines.filter(({source}) => source === end.line.source);
    yield* tellEnd(own, end);
    yield* tellTargets(own, end);
    yield `Cause: ${causeText(end)}`;
  }
}

function* tellEnd(own: readonly LogLine[], end: RequestEnd): Generator<string> {
  const {source, time} = end.line;
  yield `${source}:`;
  const before = own.slice(0, own.indexOf(end.line));
  for (const belief of BELIEFS) {
    const last = before.findLast(({message}) => message === belief);
    if (last !== undefined) yield `  ${lineText(last)}`;
  }
  if (end.kind === 'forwarded') {
    for (const attempt of end.attempts) yield `  attempt: ${attempt}`;
  }
  yield `  ${time} ended: ${causeName(end)}`;
}

/** What the list last said of each target before the end, and next after. */
function* tellTargets(
  own: readonly LogLine[],
  end: RequestEnd,
): Generator<string> {
  if (end.kind !== 'forwarded') return;
  const at = own.indexOf(end.line);
  const targets = end.attempts.map(attempt => TARGET.exec(attempt)?.[1]);
  for (const target of new Set(targets)) {
    const isAbout = ({message, fields}: LogLine): boolean =>
      message.startsWith('[routing] target') && fields['instance'] === target;
    const before = own.slice(0, at).findLast(isAbout);
    const after = own.slice(at).find(isAbout);
    if (before !== undefined) yield `  ${lineText(before)}`;
    if (after !== undefined) yield `  ${lineText(after)}`;
  }
}

function lineText({time, message, fields}: LogLine): string {
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
