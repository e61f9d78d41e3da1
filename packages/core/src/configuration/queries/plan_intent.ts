import {Err, Ok, type Result} from 'ts-results';
import {unreachable} from '../../kernel/flow';
import type {
  AcceptedConfiguration,
  DigestText,
  Owner,
  PlanId,
  SiteConfiguration,
} from '../../types';
import type {
  Intent,
  MoveItem,
  Plan,
  PlanChange,
  PlanFacts,
  PlanFault,
  PlanOwner,
  PlanSubject,
} from '../types';
import {applyChange} from './apply_change';
import {digestConfiguration} from './configuration_digest';
import {describeChanges} from './describe_changes';
import {planFault, type Draft} from './draft';
import {
  estimateCapacity,
  estimateTransfers,
  findWarnings,
} from './estimate_transfers';
import {lookUp} from './lookup';
import {
  sharedSubjects,
  statedSubjects,
  subjectKey,
  subjectOfItem,
} from './subjects';

/** Inputs of planning. */
export interface PlanRequest {
  readonly intent: Intent;
  readonly base: AcceptedConfiguration;
  readonly facts: PlanFacts;
  readonly planId: PlanId;
  readonly operator: string;
  /** Wall-clock time, in milliseconds since 1970; for display only. */
  readonly now: number;
  readonly digestText: DigestText;
}

/** Lists the models and versions whose facts are needed to plan `intent`. */
export function requiredVersions(
  intent: Intent,
): readonly {readonly model: string; readonly version: string}[] {
  return intent.changes
    .filter(change => change.kind === 'serve')
    .map(({model, version}) => ({model, version}));
}

/** Plans an intent on top of `base`, or returns all reasons against it. */
export function planIntent(request: PlanRequest): Result<Plan, PlanFault[]> {
  const {intent, base, facts, planId} = request;
  const faults = [
    ...findDuplicateSubjects(intent),
    ...findMoving(intent, facts),
  ];
  let draft: Draft = {configuration: base.configuration, moved: []};
  for (const [position, change] of intent.changes.entries()) {
    const path = `changes[${position}]`;
    const changed = applyChange(draft, change, facts, path);
    draft = changed.draft;
    faults.push(...changed.faults);
  }
  faults.push(
    ...findUnderservedModels(base.configuration, draft.configuration),
  );
  const changes = describePlan(base.configuration, draft);
  if (faults.length === 0 && changes.length === 0) {
    faults.push(planFault('nothingToChange', '', 'this is in force already'));
  }
  if (faults.length > 0) return new Err(faults);
  const {configuration, moved} = draft;
  return new Ok({
    planId,
    summary: intent.summary,
    operator: request.operator,
    plannedAt: request.now,
    base: base.generation,
    digest: digestConfiguration(request.digestText, planId, configuration),
    configuration,
    changes,
    ...estimateTransfers(base.configuration, configuration, facts),
    capacity: estimateCapacity(base.configuration, configuration),
    owners: describeOwners(base.configuration, configuration, changes, moved),
    warnings: findWarnings(base.configuration, configuration, facts),
    move: moved.length === 0 ? undefined : {items: moved},
  });
}

function findDuplicateSubjects(intent: Intent): readonly PlanFault[] {
  const stated = new Set<string>();
  const faults: PlanFault[] = [];
  for (const [position, change] of intent.changes.entries()) {
    for (const subject of statedSubjects(change)) {
      const key = subjectKey(subject);
      if (stated.has(key)) {
        const detail = `another change of this intent is about ${subject.kind} ${subject.name}`;
        faults.push(planFault('statedTwice', `changes[${position}]`, detail));
      }
      stated.add(key);
    }
  }
  return faults;
}

function findMoving(intent: Intent, facts: PlanFacts): readonly PlanFault[] {
  const moving = facts.moves.flatMap(move => move.items).map(subjectOfItem);
  return intent.changes.flatMap((change, position) =>
    sharedSubjects(statedSubjects(change), moving).map(subject =>
      planFault(
        'moving',
        `changes[${position}]`,
        `${subject.kind} ${subject.name} is moving between the systems`,
      ),
    ),
  );
}

/**
 * Finds models that would be left without a target or below their floor by
 * targets that leave or move.
 */
function findUnderservedModels(
  before: SiteConfiguration,
  after: SiteConfiguration,
): readonly PlanFault[] {
  const faults: PlanFault[] = [];
  for (const [name, model] of Object.entries(after.models)) {
    if (lookUp(before.models, name) === model) continue;
    const count = model.targets.length;
    if (count === 0) {
      const detail = `no target would serve ${name} any more`;
      faults.push(planFault('stillServes', '', detail));
    } else if (count < model.capacityFloor) {
      const detail = `floor ${model.capacityFloor} above ${count} targets of ${name}`;
      faults.push(planFault('floorAboveTargets', '', detail));
    }
  }
  return faults;
}

/**
 * Lists the differences. An item that moves is listed with both steps: closed
 * on both sides, then with the new owner.
 */
function describePlan(
  before: SiteConfiguration,
  draft: Draft,
): readonly PlanChange[] {
  const differences = describeChanges(before, draft.configuration);
  const others = differences.filter(
    change => findMoved(draft.moved, change.subject) === undefined,
  );
  const moves = draft.moved.map(item => {
    const subject = subjectOfItem(item);
    const from = ownerOf(before, subject) ?? 'nobody';
    return {
      subject,
      before: `owner ${from}`,
      after: `closed on both sides, then owner ${item.owner}`,
    };
  });
  return [...others, ...moves];
}

function describeOwners(
  before: SiteConfiguration,
  after: SiteConfiguration,
  changes: readonly PlanChange[],
  moved: readonly MoveItem[],
): readonly PlanOwner[] {
  const owners: PlanOwner[] = [];
  for (const {subject} of changes) {
    const owner = findMoved(moved, subject)?.owner ?? ownerOf(after, subject);
    if (owner === undefined) continue;
    owners.push({
      subject,
      before: ownerOf(before, subject) ?? 'nobody',
      after: owner,
    });
  }
  return owners;
}

function findMoved(
  moved: readonly MoveItem[],
  subject: PlanSubject,
): MoveItem | undefined {
  return moved.find(
    item => item.kind === subject.kind && item.name === subject.name,
  );
}

function ownerOf(
  configuration: SiteConfiguration,
  subject: PlanSubject,
): Owner | undefined {
  switch (subject.kind) {
    case 'target':
      return lookUp(configuration.targets, subject.name)?.owner;
    case 'workspace':
      return lookUp(configuration.workspaces, subject.name)?.owner;
    case 'model':
    case 'service':
    case 'site':
      return undefined;
    default:
      return unreachable(subject);
  }
}
