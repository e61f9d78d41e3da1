import type {PlanFacts, PlanFault, ServeChange} from '../types';
import {chooseTargets} from './choose_targets';
import {planFault, withModel, type ChangedDraft, type Draft} from './draft';
import {lookUp} from './lookup';

/** Applies a `serve` change: version, targets and capacity floor. */
export function applyServe(
  draft: Draft,
  change: ServeChange,
  facts: PlanFacts,
  path: string,
): ChangedDraft {
  const chosen = chooseTargets(change, draft.configuration, facts, path);
  const faults: PlanFault[] = [...chosen.faults];
  const version = facts.versions.find(
    fact => fact.model === change.model && fact.version === change.version,
  );
  if (version?.kind !== 'resolved') {
    const kind =
      version?.kind === 'badManifest' ? 'badManifest' : 'versionMissing';
    const detail = version?.detail ?? 'the origin was not asked';
    const named = `${change.model} ${change.version}: ${detail}`;
    return {draft, faults: [...faults, planFault(kind, path, named)]};
  }
  if (faults.length > 0) return {draft, faults};
  const floorFault = checkFloor(draft, change, chosen.targets, path);
  if (floorFault !== undefined) return {draft, faults: [floorFault]};
  const served = withModel(draft, change.model, {
    versionDigest: version.versionDigest,
    label: version.label,
    targets: chosen.targets,
    capacityFloor: change.capacityFloor,
    prefer: change.prefer,
  });
  return {draft: served, faults: []};
}

function checkFloor(
  draft: Draft,
  change: ServeChange,
  targets: readonly string[],
  path: string,
): PlanFault | undefined {
  const {capacityFloor, model} = change;
  if (capacityFloor > targets.length) {
    const detail = `floor ${capacityFloor} above ${targets.length} targets of ${model}`;
    return planFault('floorAboveTargets', path, detail);
  }
  const before = lookUp(draft.configuration.models, model)?.targets ?? [];
  const kept = before.filter(name => targets.includes(name)).length;
  if (kept < Math.min(capacityFloor, before.length)) {
    const detail = `only ${kept} of the serving targets of ${model} stay, floor ${capacityFloor}: add the new targets first, then remove the others`;
    return planFault('floorBroken', path, detail);
  }
  return undefined;
}
