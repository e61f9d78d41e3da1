import {hash32} from '@hibiscusbeam/core';
import type {BenchCase, SiteSize} from './cases';
import type {FakeClock} from './fake_clock';
import type {HibiscusbeamPolicy} from './hibiscusbeam_policy';
import {configureLimits} from './hibiscusbeam_policy';
import {createRandom} from './load';
import type {Entry, Target} from './members';
import {ENGINE, MODEL, VERSION} from './site_configuration';
import {CROSS_ZONE_DELAY_MS, HEARTBEAT_MS} from './timing';

/** Cache events arrive later than load reports, and some are lost. */
const CACHE_EVENT_DELAY_MS = 1_000;
const CACHE_EVENT_LOSS_SHARE = 0.1;
const MAX_CACHE_HINTS = 64;

/** Exchanges workspace use between entries with the hibiscusbeam policy. */
export function shareHeartbeats(
  clock: FakeClock,
  entries: readonly Entry[],
  size: SiteSize,
): void {
  const ours = entries.flatMap(entry =>
    'limits' in entry.policy
      ? [{entry, limits: (entry.policy as HibiscusbeamPolicy).limits}]
      : [],
  );
  for (const {limits} of ours) configureLimits(limits, size.engines);
  for (const {limits} of ours) {
    for (const {entry} of ours) limits.entryJoined(entry.name, clock.now());
  }
  const sendHeartbeats = (): void => {
    for (const sender of ours) {
      if (!sender.entry.alive) continue;
      const published = sender.limits.publish(clock.now());
      clock.schedule(CROSS_ZONE_DELAY_MS, () => {
        for (const {limits} of ours) limits.receive(published, clock.now());
      });
    }
    clock.schedule(HEARTBEAT_MS, sendHeartbeats);
  };
  sendHeartbeats();
}

/** Sends load reports of a target to its entries, with the case's delay. */
export function reportRegularly(
  clock: FakeClock,
  target: Target,
  entries: readonly Entry[],
  benchCase: BenchCase,
  seed: number,
): void {
  const random = createRandom(seed ^ hash32(target.name));
  let cacheSeen: readonly number[] = [];
  const report = (): void => {
    if (target.engine.isDead()) return;
    const {running, queued, cachedPrefixes} = target.engine.load();
    const hints = cacheSeen;
    const delay = benchCase.reportDelay;
    clock.schedule(CACHE_EVENT_DELAY_MS, () => {
      cacheSeen = cachedPrefixes
        .filter(() => random() >= CACHE_EVENT_LOSS_SHARE)
        .slice(-MAX_CACHE_HINTS);
    });
    clock.schedule(delay, () => {
      for (const entry of entries) {
        if (!entry.alive || target.engine.isDead()) continue;
        if (!entry.held.has(target.name)) continue;
        entry.policy.onReport({
          target: target.name,
          zone: target.zone,
          service: undefined,
          leaving: false,
          loaded: [{model: MODEL, versionDigest: VERSION}],
          running,
          queued,
          slots: ENGINE.slots,
          age: delay,
          cachedPrefixes: hints,
        });
      }
    });
    clock.schedule(HEARTBEAT_MS, report);
  };
  clock.schedule(random() * HEARTBEAT_MS, report);
}
