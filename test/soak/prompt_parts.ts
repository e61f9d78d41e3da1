import type {EngineFault, EngineRun} from '../fleet/fixtures/host_engine';
import type {CallerRecord, SoakRecords} from './invariants';

/** Streams on this path contain the part that crashes engines. */
export const CRASHING_PART_PATH = '/stream/crashing-part/';

/** One in so many requests contains the part. */
export const CRASHING_PART_INTERVAL = 5;

const CRASHING_PART = 'bad0';
const SHARED_PART = 'aa01';
const SOUND_PART = 'bb02';

/** Ends of targets after which requests with their part may be late. */
const ALLOWED_ENDS = 5;

/** Time within which observations of one entry reach all entries. */
const SYNC_MS = 3_000;

/** Allowed attempts with the part after that time. */
const MAX_LATE_ATTEMPTS = 3;

const MIN_SOUND_SHARE = 0.5;

/** The prompt header of a stream. */
export function promptOf(requestId: string, path: string): string {
  const part = path.startsWith(CRASHING_PART_PATH) ? CRASHING_PART : SOUND_PART;
  const own = Buffer.from(requestId).toString('hex');
  return `${SHARED_PART}:40,${part}:90,${own}:9`;
}

/** Engines crash on the part; every other seed has answers without framing. */
export function partFault(seed: number): EngineFault {
  const framing = seed % 2 === 0 ? 'connection' : 'chunks';
  return {kind: 'crashesOnPart', part: CRASHING_PART, framing};
}

/** Checks what crashed targets under a part of prompts, and what was refused. */
export function partViolations(records: SoakRecords): readonly string[] {
  const crashes = records.engines
    .flatMap(({runs}) => runs)
    .filter(hasCrashingPart)
    .sort((one, other) => one.begunAt - other.begunAt);
  const decisive = crashes.at(Math.min(ALLOWED_ENDS, crashes.length) - 1);
  if (decisive === undefined) return [];
  return [
    ...lateAttempts(records, crashes, decisive.begunAt + SYNC_MS),
    ...unservedStreams(records, decisive.begunAt + 2 * SYNC_MS),
  ];
}

function hasCrashingPart({headers}: EngineRun): boolean {
  const prompt = String(headers['x-hibiscusbeam-prompt-prefix'] ?? '');
  return prompt.includes(`${CRASHING_PART}:`);
}

function lateAttempts(
  records: SoakRecords,
  crashes: readonly EngineRun[],
  after: number,
): readonly string[] {
  const late = crashes.filter(({requestId, begunAt}) => {
    const caller = records.callers.find(one => one.requestId === requestId);
    if (caller === undefined || begunAt <= after) return false;
    return records.isCalm(caller.entry, begunAt - SYNC_MS, begunAt);
  });
  return late.length > MAX_LATE_ATTEMPTS
    ? [`a target-crashing part was sent ${late.length} more times`]
    : [];
}

function unservedStreams(
  records: SoakRecords,
  after: number,
): readonly string[] {
  const isCalm = ({entry, sentAt, endedAt}: CallerRecord): boolean =>
    records.isCalm(entry, sentAt - SYNC_MS, endedAt) &&
    records.isStoreStable(sentAt - SYNC_MS, endedAt);
  const sound = records.callers
    .filter(({path}) => path.startsWith('/stream/'))
    .filter(({path}) => !path.startsWith(CRASHING_PART_PATH))
    .filter(caller => caller.sentAt > after && isCalm(caller));
  const served = sound.filter(({status}) => status === 200).length;
  return served < sound.length * MIN_SOUND_SHARE
    ? [`${served} of ${sound.length} streams without the part were served`]
    : [];
}
