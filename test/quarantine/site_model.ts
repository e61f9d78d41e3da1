import {createQuarantine, type Quarantine} from '@hibiscusbeam/core';

/** Which suspects of a request its ends of targets are filed under. */
export type Evidence = 'request' | 'requestAndParts';

/** Whether a suspected request waits until no other one with its part runs. */
export type Caution = 'none' | 'oneAtATime';

/** Parameters of a modelled site. */
export interface ModelledSite {
  readonly seed: number;
  readonly entries: number;
  readonly targets: number;
  readonly evidence: Evidence;
  readonly caution: Caution;
  /** Share of the requests that contain the crashing part. */
  readonly crashingShare: number;
  /** Whether half of the targets end at once, for another reason. */
  readonly hasOutage: boolean;
}

/** What a modelled site did. */
export interface ModelledOutcome {
  /** Targets that ended under the crashing part. */
  readonly crashes: number;
  /** Sends of the part later than 3 s after the fifth of these ends. */
  readonly lateSends: number;
  readonly sound: number;
  /** Sound requests refused because of a quarantine. */
  readonly soundRefused: number;
  /** Sound requests that waited for another request. */
  readonly soundHeld: number;
}

const DURATION_MS = 30_000;
const REQUESTS_A_SECOND = 60;
const BEGIN_MS = 120;
const CRASH_MS = 60;
const SURVIVED_MS = 250;
const ANSWER_MS = 1_200;
const RESTART_MS = 5_000;
const RELAY_MS = 50;
const OUTAGE_AT_MS = 10_000;
const FIFTH = 5;
const LATE_MS = 3_000;
const SHARED_PARTS = ['kind', 'workspace 1', 'workspace 2', 'workspace 3'];

interface Target {
  life: number;
  upAt: number;
}

interface Attempt {
  readonly suspects: readonly string[];
  readonly entry: number;
  readonly target: Target;
  readonly life: number;
  readonly sentAt: number;
  readonly isCrashing: boolean;
}

/** Plays a site's traffic on a virtual clock, with the real quarantine. */
export function playSite(site: ModelledSite): ModelledOutcome {
  const random = createRandom(site.seed);
  const entries = Array.from({length: site.entries}, () => createQuarantine());
  const revisions = entries.map(() => 0);
  const targets = Array.from({length: site.targets}, (): Target => {
    return {life: 0, upAt: 0};
  });
  const crashTimes: number[] = [];
  const lateCandidates: number[] = [];
  let inFlight: Attempt[] = [];
  let sound = 0;
  let soundRefused = 0;
  let soundHeld = 0;

  function endTarget(target: Target, now: number): void {
    const life = `${targets.indexOf(target)}-${target.life}`;
    const lost = inFlight.filter(
      attempt => attempt.target === target && attempt.life === target.life,
    );
    target.life += 1;
    target.upAt = now + RESTART_MS;
    inFlight = inFlight.filter(attempt => !lost.includes(attempt));
    for (const {suspects, entry, sentAt} of lost) {
      const hasSurvived = now - sentAt >= BEGIN_MS + SURVIVED_MS;
      const blamed = hasSurvived ? suspects.slice(0, 1) : suspects;
      const ending = {life, sentAt, endedAt: now};
      entries[entry]!.recordEnding(blamed, ending);
    }
  }

  function progress(now: number): void {
    for (const attempt of inFlight) {
      const age = now - attempt.sentAt;
      if (attempt.isCrashing && age === BEGIN_MS + CRASH_MS) {
        crashTimes.push(now);
        endTarget(attempt.target, now);
      }
      if (age !== BEGIN_MS + SURVIVED_MS && age !== ANSWER_MS) continue;
      const isWhole = age === ANSWER_MS;
      const cleared = isWhole ? attempt.suspects : attempt.suspects.slice(1);
      for (const suspect of cleared) {
        entries[attempt.entry]!.recordAnswer(
          suspect,
          attempt.sentAt + BEGIN_MS,
        );
      }
    }
    inFlight = inFlight.filter(({sentAt}) => now - sentAt < ANSWER_MS);
  }

  function relay(): void {
    const changes = entries.map((entry, index) => {
      const {rows, revision} = entry.changedSince(revisions[index]!, 1_000);
      revisions[index] = revision;
      return rows;
    });
    for (const entry of entries) entry.merge(changes.flat());
  }

  function send(id: number, now: number): void {
    const isCrashing = random() < site.crashingShare;
    const workspace = SHARED_PARTS[1 + Math.floor(random() * 3)]!;
    const parts = ['kind', workspace, ...(isCrashing ? ['bad'] : [])];
    const all = [`request ${id}`, ...parts, `own ${id}`];
    const suspects = site.evidence === 'request' ? all.slice(0, 1) : all;
    const entry = Math.floor(random() * site.entries);
    const up = targets.filter(({upAt}) => upAt <= now);
    const target = up[Math.floor(random() * up.length)];
    if (!isCrashing) sound += 1;
    if (suspects.some(entries[entry]!.isQuarantined)) {
      if (!isCrashing) soundRefused += 1;
      return;
    }
    if (target === undefined) return;
    if (site.caution === 'oneAtATime' && isHeld(entries[entry]!, suspects)) {
      if (!isCrashing) soundHeld += 1;
      return;
    }
    if (isCrashing) lateCandidates.push(now);
    const {life} = target;
    inFlight.push({suspects, entry, target, life, sentAt: now, isCrashing});
  }

  /** Whether a suspect of the request is at a target that may end under it. */
  function isHeld(entry: Quarantine, suspects: readonly string[]): boolean {
    const suspected = new Set(
      entry
        .changedSince(0, 10_000)
        .rows.filter(({endings}) => endings.length > 0)
        .map(({suspect}) => suspect),
    );
    const doubted = suspects.filter(suspect => suspected.has(suspect));
    return inFlight.some(attempt =>
      attempt.suspects.some(suspect => doubted.includes(suspect)),
    );
  }

  let id = 0;
  for (let now = 0; now < DURATION_MS; now += 10) {
    progress(now);
    if (now % RELAY_MS === 0) relay();
    if (site.hasOutage && now === OUTAGE_AT_MS) {
      const half = targets.slice(0, targets.length / 2);
      for (const target of half) endTarget(target, now);
    }
    if (random() < REQUESTS_A_SECOND / 100) send((id += 1), now);
  }
  const fifth = crashTimes[FIFTH - 1] ?? Infinity;
  const lateSends = lateCandidates.filter(at => at > fifth + LATE_MS).length;
  const crashes = crashTimes.length;
  return {crashes, lateSends, sound, soundRefused, soundHeld};
}

/** A linear congruential generator; returns numbers from 0 to below 1. */
function createRandom(seed: number): () => number {
  let state = seed * 2_654_435_761;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
