import {unreachable} from '../../kernel/flow';
import type {IntentChange, MoveItem, Plan, PlanSubject} from '../types';

/** The site itself as a subject: whether the older system is off. */
export const SITE_SUBJECT: PlanSubject = {kind: 'site', name: 'older-system'};

/** A text that is equal for equal subjects only. */
export function subjectKey(subject: PlanSubject): string {
  return `${subject.kind}/${subject.name}`;
}

/** The subjects that both lists hold. */
export function sharedSubjects(
  left: readonly PlanSubject[],
  right: readonly PlanSubject[],
): readonly PlanSubject[] {
  const keys = new Set(right.map(subjectKey));
  return left.filter(subject => keys.has(subjectKey(subject)));
}

/** The subject that an item of a move is. */
export function subjectOfItem(item: MoveItem): PlanSubject {
  return {kind: item.kind, name: item.name};
}

/** What an intent's change states something about. */
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

/** Everything that a plan changes, at once or at the end of its move. */
export function planSubjects(plan: Plan): readonly PlanSubject[] {
  return plan.changes.map(change => change.subject);
}
