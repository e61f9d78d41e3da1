import type {BenchCase} from './cases';
import type {FakeClock} from './fake_clock';
import type {Entry, Target} from './members';
import {FAILURE_DETECTION_MS} from './timing';

/** Injects the fault of a case; it lasts until the end. */
export function startFault(
  benchCase: BenchCase,
  clock: FakeClock,
  targets: readonly Target[],
  entries: readonly Entry[],
): void {
  const {fault} = benchCase;
  switch (fault.kind) {
    case 'none':
      return;
    case 'slowTarget':
      return targets[0]!.engine.setSlowFactor(fault.factor);
    case 'frozenTarget':
      return targets[0]!.engine.freeze();
    case 'zoneGone':
      return endZone(clock, targets, entries);
  }
}

function endZone(
  clock: FakeClock,
  targets: readonly Target[],
  entries: readonly Entry[],
): void {
  const zone = targets[0]!.zone;
  for (const lost of entries.filter(entry => entry.zone === zone)) {
    lost.alive = false;
    clock.schedule(FAILURE_DETECTION_MS, () => {
      for (const entry of entries) entry.policy.onEntryGone(lost.name);
    });
  }
  for (const target of targets.filter(lost => lost.zone === zone)) {
    target.engine.kill();
    clock.schedule(FAILURE_DETECTION_MS, () => {
      for (const entry of entries) entry.policy.onTargetGone(target.name);
    });
  }
}
