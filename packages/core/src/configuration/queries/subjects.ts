import {unreachable} from '../../kernel/flow';
import type {IntentChange, MoveItem, Plan, PlanSubject} from '../types';

/** The site as a subject: whether the older system is switched off. */
export const SITE_SUBJECT: PlanSubject = {kind: 'site', name: 'older-system'};

/** Key of a subject; equal only for equal subjects. */
export function subjectKey(subject: PlanSubject): string {
  return `${subject.kind}/${subject.name}`;
}

/** Returns the subjects of `left` that are also in `right`. */
export function sharedSubjects(
  left: readonly PlanSubject[],
  right: readonly PlanSubject[],
): readonly PlanSubject[] {
  const keys = new Set(right.map(subjectKey));
  return left.filter(subject => keys.has(subjectKey(subject)));
}

/** Returns the subject of an item of a move. */
export function subjectOfItem(item: MoveItem): PlanSubject {
  return {kind: item.kind, name: item.name};
}

/** Lists the subjects of a change of an intent. */
export function statedSubjects(change: IntentChange): readonly PlanSubject[] {
  switch (change.kind) {
    case 'serve':
      return [{kind: 'model', name: change.model}];
    case 'join':
    case 'leave':
      return change.targets.map(name => ({kind: 'target', name}));
    case 'workspace':
      return [{kind: 'workspace', name: change.workspace}];
    case 'service':
      return [{kind: 'service', name: change.service}];
    case 'own':
      return [
        ...change.targets.map(name => ({kind: 'target' as const, name})),
        ...change.workspaces.map(name => ({kind: 'workspace' as const, name})),
      ];
    case 'switch-off':
      return [SITE_SUBJECT];
    default:
      return unreachable(change);
  }
}

/**
 * Lists everything that a plan changes, immediately or at the end of its move.
 */
export function planSubjects(plan: Plan): readonly PlanSubject[] {
  return plan.changes.map(change => change.subject);
}
