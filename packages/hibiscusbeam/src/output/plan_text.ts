import type {MoveReply, PlanListReply, PlanReply} from '../operator/replies';
import {sanitizeText, formatBytes, formatSeconds, formatTable} from './text';

interface Subject {
  readonly kind: string;
  readonly name: string;
}

/** Formats a plan as text: its changes, costs, owners and warnings. */
export function formatPlan(reply: PlanReply): string {
  const {plan, state} = reply;
  const sections = [
    [
      `Plan ${plan.planId}: ${sanitizeText(plan.summary)}`,
      `by ${plan.operator}, on generation ${plan.base}, ${describeState(state)}`,
    ].join('\n'),
    section(
      'Changes',
      ['WHAT', 'BEFORE', 'AFTER'],
      plan.changes.map(change => [
        formatSubject(change.subject),
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
        formatSubject(owner.subject),
        owner.before,
        owner.after,
      ]),
    ),
    section(
      'Warnings',
      ['WHAT', 'WARNING'],
      plan.warnings.map(warning => [
        formatSubject(warning.subject),
        warning.detail,
      ]),
    ),
    describeInForce(reply),
    ...(reply.move === undefined ? [] : describeMove(reply.move)),
  ];
  return sections.filter(text => text !== '').join('\n\n');
}

function describeInForce({inForce, lagging}: PlanReply): string {
  if (inForce === undefined) return '';
  if (inForce) return 'In force everywhere.';
  const rows = (lagging ?? []).map(({instance, generation}) => [
    instance,
    generation === undefined ? 'no answer' : `${generation}`,
  ]);
  return section('Not yet in force at', ['PROCESS', 'GENERATION'], rows);
}

/** Texts for the reasons why a move waits for a process. */
const WAIT_REASONS: Readonly<Record<string, string>> = {
  behind: 'has not adopted the closing generation',
  busy: 'has requests or orders in progress',
  silent: 'does not answer',
  notSurelyOut: 'does not answer and is not known to be out for long enough',
  notAsked: 'others have heard of it, and it cannot be asked',
  noWordFromOlderSystem: 'has not said what it owns',
};

function describeMove({state, closedAt, awaited}: MoveReply): string[] {
  switch (state.kind) {
    case 'opened':
      return [
        `Move: opened on the new side as generation ${state.generation}.`,
      ];
    case 'cancelled':
      return [
        `Move: opened again on the old side as generation ${state.generation}.`,
      ];
    case 'closed': {
      const rows = awaited.map(({process, reason}) => [
        process,
        WAIT_REASONS[reason] ?? reason,
      ]);
      const closed = `Move: closed on both sides since generation ${closedAt}`;
      if (rows.length === 0) return [`${closed}; about to open.`];
      const heading = `${closed}; waits for`;
      return [section(heading, ['PROCESS', 'WHY'], rows)];
    }
  }
}

/** Formats plans as a table. */
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

function formatSubject(subject: Subject): string {
  return `${subject.kind} ${subject.name}`;
}
