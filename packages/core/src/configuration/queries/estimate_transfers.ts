import type {Bytes, SiteConfiguration} from '../../types';
import type {PlanCapacity, PlanFacts, PlanWarning} from '../types';
import {lookUp} from './lookup';

/** Lower bounds for the transfer of weights. */
export interface TransferEstimate {
  readonly originBytes: Bytes;
  /** Lower bound from the rates of the links; see {@link estimateMinSeconds}. */
  readonly expectedSeconds: number;
}

interface ModelTransfer {
  readonly size: Bytes;
  readonly copies: number;
  readonly fromOrigin: boolean;
}

/**
 * Estimates the bytes from the origin and the minimum time for the change from
 * `before` to `after`.
 */
export function estimateTransfers(
  before: SiteConfiguration,
  after: SiteConfiguration,
  facts: PlanFacts,
): TransferEstimate {
  const transfers = Object.keys(after.models)
    .map(name => transferOf(name, before, after, facts))
    .filter(transfer => transfer.copies > 0);
  const originBytes = transfers
    .filter(transfer => transfer.fromOrigin)
    .reduce((sum, transfer) => sum + transfer.size, 0);
  return {originBytes, expectedSeconds: estimateMinSeconds(transfers, facts)};
}

function transferOf(
  name: string,
  before: SiteConfiguration,
  after: SiteConfiguration,
  facts: PlanFacts,
): ModelTransfer {
  const old = lookUp(before.models, name);
  const now = lookUp(after.models, name);
  const sameVersion = old?.versionDigest === now?.versionDigest;
  const held = sameVersion ? (old?.targets ?? []) : [];
  const added = (now?.targets ?? []).filter(target => !held.includes(target));
  const fact = facts.versions.find(
    version =>
      version.kind === 'resolved' &&
      version.versionDigest === now?.versionDigest,
  );
  return {
    size: fact?.kind === 'resolved' ? fact.size : 0,
    copies: added.length,
    fromOrigin: held.length === 0,
  };
}

/**
 * The maximum of: one copy at the origin's rate, the largest version at the
 * rate of an instance's link, and all copies at the total send rate of the
 * origin and the receivers.
 */
function estimateMinSeconds(
  transfers: readonly ModelTransfer[],
  facts: PlanFacts,
): number {
  if (transfers.length === 0) return 0;
  const origin = transfers
    .filter(transfer => transfer.fromOrigin)
    .reduce((sum, transfer) => sum + transfer.size, 0);
  const all = transfers.reduce(
    (sum, transfer) => sum + transfer.size * transfer.copies,
    0,
  );
  const largest = Math.max(...transfers.map(transfer => transfer.size));
  const receivers = transfers.reduce(
    (sum, transfer) => sum + transfer.copies,
    0,
  );
  const totalRate = facts.originRate + receivers * facts.instanceRate;
  return Math.max(
    origin / facts.originRate,
    largest / facts.instanceRate,
    all / totalRate,
  );
}

/**
 * Counts the targets that serve each changed model before and after the change,
 * and the fewest while it is carried out.
 */
export function estimateCapacity(
  before: SiteConfiguration,
  after: SiteConfiguration,
): readonly PlanCapacity[] {
  const capacities: PlanCapacity[] = [];
  for (const [model, now] of Object.entries(after.models)) {
    const old = lookUp(before.models, model);
    if (old === now) continue;
    const oldTargets = old?.targets ?? [];
    const kept = oldTargets.filter(name => now.targets.includes(name)).length;
    const swaps = old?.versionDigest !== now.versionDigest;
    const lowest = swaps ? Math.min(kept, now.capacityFloor) : kept;
    capacities.push({
      model,
      before: oldTargets.length,
      lowest,
      after: now.targets.length,
    });
  }
  return capacities;
}

/** Finds warnings that an operator should see before confirming. */
export function findWarnings(
  before: SiteConfiguration,
  after: SiteConfiguration,
  facts: PlanFacts,
): readonly PlanWarning[] {
  const live = new Set(
    facts.targets.filter(target => target.live).map(target => target.target),
  );
  const warnings: PlanWarning[] = [];
  for (const [model, now] of Object.entries(after.models)) {
    const old = lookUp(before.models, model);
    if (old === now) continue;
    for (const name of now.targets.filter(target => !live.has(target))) {
      const detail = `target ${name} is not live now`;
      const subject = {kind: 'target' as const, name};
      warnings.push({kind: 'targetNotLive', subject, detail});
    }
    warnings.push(...findSwapWarnings(model, before, after));
    warnings.push(...findSharingWarnings(model, after));
  }
  return warnings;
}

function findSwapWarnings(
  model: string,
  before: SiteConfiguration,
  after: SiteConfiguration,
): readonly PlanWarning[] {
  const old = lookUp(before.models, model);
  const now = lookUp(after.models, model);
  if (old === undefined || now === undefined) return [];
  if (old.versionDigest === now.versionDigest) return [];
  if (now.capacityFloor === 0) return [];
  if (old.targets.length > now.capacityFloor) return [];
  if (now.targets.length > old.targets.length) return [];
  const detail = `floor ${now.capacityFloor} leaves no target of ${model} free to swap versions`;
  return [
    {kind: 'noRoomToSwap', subject: {kind: 'model', name: model}, detail},
  ];
}

function findSharingWarnings(
  model: string,
  after: SiteConfiguration,
): readonly PlanWarning[] {
  const targets = lookUp(after.models, model)?.targets ?? [];
  const others = Object.entries(after.models).filter(
    ([name]) => name !== model,
  );
  const warnings: PlanWarning[] = [];
  for (const target of targets) {
    const shared = others.filter(([, other]) => other.targets.includes(target));
    if (shared.length === 0) continue;
    const names = shared.map(([name]) => name).join(', ');
    warnings.push({
      kind: 'servesSeveralModels',
      subject: {kind: 'target', name: target},
      detail: `target ${target} serves ${names} as well as ${model}`,
    });
  }
  return warnings;
}
