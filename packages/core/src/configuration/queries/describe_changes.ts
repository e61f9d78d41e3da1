import type {
  JsonValue,
  ModelConfiguration,
  ServiceConfiguration,
  SiteConfiguration,
  TargetConfiguration,
  WorkspaceConfiguration,
} from '../../types';
import {canonicalJson} from '../../utils/canonical_json';
import type {PlanChange, PlanSubject} from '../types';
import {lookUp} from './lookup';
import {SITE_SUBJECT} from './subjects';

const ABSENT = 'absent';

/**
 * Lists all differences between two configurations, in words for an operator.
 */
export function describeChanges(
  before: SiteConfiguration,
  after: SiteConfiguration,
): readonly PlanChange[] {
  return [
    ...compare('model', before.models, after.models, describeModel),
    ...compare('target', before.targets, after.targets, describeTarget),
    ...compare('service', before.services, after.services, describeService),
    ...compare(
      'workspace',
      before.workspaces,
      after.workspaces,
      describeWorkspace,
    ),
    ...compareSite(before, after),
  ];
}

function compare<Item>(
  kind: Exclude<PlanSubject['kind'], 'site'>,
  before: {readonly [name: string]: Item},
  after: {readonly [name: string]: Item},
  describe: (item: Item) => string,
): readonly PlanChange[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const changes: PlanChange[] = [];
  for (const name of [...names].sort()) {
    const old = lookUp(before, name);
    const now = lookUp(after, name);
    if (isSame(old, now)) continue;
    changes.push({
      subject: {kind, name},
      before: old === undefined ? ABSENT : describe(old),
      after: now === undefined ? ABSENT : describe(now),
    });
  }
  return changes;
}

function isSame(left: unknown, right: unknown): boolean {
  if (left === undefined || right === undefined) return left === right;
  return canonicalJson(left as JsonValue) === canonicalJson(right as JsonValue);
}

function compareSite(
  before: SiteConfiguration,
  after: SiteConfiguration,
): readonly PlanChange[] {
  if (before.olderSystemSwitchedOff === after.olderSystemSwitchedOff) return [];
  const describe = (off: boolean): string => (off ? 'off' : 'on');
  return [
    {
      subject: SITE_SUBJECT,
      before: describe(before.olderSystemSwitchedOff),
      after: describe(after.olderSystemSwitchedOff),
    },
  ];
}

function describeModel(model: ModelConfiguration): string {
  const targets = model.targets.join(' ');
  return `${model.label} (${model.versionDigest}) on ${model.targets.length} targets [${targets}], floor ${model.capacityFloor}, prefer ${model.prefer}`;
}

function describeTarget(target: TargetConfiguration): string {
  const service = target.service === undefined ? '' : ` ${target.service}`;
  return `${target.kind}${service} in ${target.zone}, ${target.state}, owner ${target.owner}, fencing ${target.fencing}`;
}

function describeService(service: ServiceConfiguration): string {
  return `not repeatable: ${service.notRepeatable.join(', ') || 'none'}`;
}

function describeWorkspace(workspace: WorkspaceConfiguration): string {
  const {owner, open, priority, weight, requestsPerSecond} = workspace;
  return `${open ? 'open' : 'closed'}, owner ${owner}, priority ${priority}, weight ${weight}, ${requestsPerSecond} requests/s`;
}
