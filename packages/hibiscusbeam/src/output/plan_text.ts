import type {PlanListReply, PlanReply} from '../operator/replies';
import {cleanText, formatBytes, formatSeconds, formatTable} from './text';

interface Subject {
  readonly kind: string;
  readonly name: string;
}

/** A plan for people: what changes, what it costs, who owns what. */
export function formatPlan({plan, state}: PlanReply): string {
  const sections = [
    [
      `Plan ${plan.planId}: ${cleanText(plan.summary)}`,
      `by ${plan.operator}, on generation ${plan.base}, ${describeState(state)}`,
    ].join('\n'),
    section(
      'Changes',
      ['WHAT', 'BEFORE', 'AFTER'],
      plan.changes.map(change => [
        nameOf(change.subject),
        change.before,
        change.after,
      ]),
    ),
    `Origin bytes ${formatBytes(plan.originBytes)}, expected time ${formatSeconds(plan.expectedSeconds)}`,
    section(
      'Serving targets',
      ['MODEL', 'BEFORE', 'FEWEST MEANWHILE', 'AFTER'],
      plan.capacity.map(line => [
        line.model,
        `${line.before}`,
        `${line.lowest}`,
        `${line.after}`,
      ]),
    ),
    section(
      'Owners',
      ['WHAT', 'BEFORE', 'AFTER'],
      plan.owners.map(owner => [
        nameOf(owner.subject),
        owner.before,
        owner.after,
      ]),
    ),
    section(
      'Warnings',
      ['WHAT', 'WARNING'],
      plan.warnings.map(warning => [nameOf(warning.subject), warning.detail]),
    ),
  ];
  return sections.filter(text => text !== '').join('\n\n');
}

/** Plans in a table. */
export function formatPlanList({plans}: PlanListReply): string {
  if (plans.length === 0) return 'No plans.';
  return formatTable(
    ['PLAN', 'STATE', 'BASE', 'OPERATOR', 'PLANNED', 'SUMMARY'],
    plans.map(plan => [
      plan.planId,
      describeState(plan.state),
      `${plan.base}`,
      plan.operator,
      new Date(plan.plannedAt).toISOString(),
      plan.summary,
    ]),
  );
}

function section(
  title: string,
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  return rows.length === 0 ? '' : `${title}\n${formatTable(headings, rows)}`;
}

function describeState(state: PlanReply['state']): string {
  if (state.generation === undefined) return state.kind;
  return `${state.kind} as generation ${state.generation}`;
}

function nameOf(subject: Subject): string {
  return `${subject.kind} ${subject.name}`;
}
