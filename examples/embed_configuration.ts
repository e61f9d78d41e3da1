// Embeds the configuration module: two operators plan changes, one plan is
// overtaken, and a process adopts the accepted configuration. The table is
// kept in memory here; a real process executes the same effects against the
// table of the platform.
import {createHash} from 'node:crypto';
import {
  type AcceptedConfiguration,
  type CommitOutcome,
  confirmPlan,
  createGenerationManager,
  type DigestText,
  initialConfiguration,
  parseIntent,
  type Plan,
  type PlanFacts,
  planIntent,
  storePlan,
  type TableCondition,
  type TableFlow,
  type TableFlowEffect,
  type TableFlowReply,
  type TableRow,
  type TableTransaction,
} from '@hibiscusbeam/core';
import {Ok} from 'ts-results';

const digestText: DigestText = text =>
  `sha256:${createHash('sha256').update(text).digest('hex')}`;

const rows = new Map<string, TableRow>();

function holds(condition: TableCondition): boolean {
  const row = rows.get(condition.key);
  if (condition.kind === 'absent') return row === undefined;
  return row?.version === condition.version;
}

function commit({conditions, writes}: TableTransaction): CommitOutcome {
  const violated = conditions.filter(condition => !holds(condition));
  if (violated.length > 0) {
    const failed = violated.map(({key}) => ({key, row: rows.get(key)}));
    return {kind: 'conditionFailed', failed};
  }
  for (const write of writes) {
    const {key} = write;
    const version = (rows.get(key)?.version ?? 0) + 1;
    if (write.kind === 'delete') rows.delete(key);
    else rows.set(key, {key, version, value: write.value});
  }
  return {kind: 'committed'};
}

function executeEffect(effect: TableFlowEffect): TableFlowReply {
  switch (effect.kind) {
    case 'readRow':
      return {kind: 'row', result: new Ok(rows.get(effect.key))};
    case 'commit':
      return {kind: 'commit', result: new Ok(commit(effect.transaction))};
    case 'wait':
      return {kind: 'waited'};
  }
}

/** Runs a flow to completion. */
function runFlow<Outcome>(flow: TableFlow<Outcome>): Outcome {
  let next = flow.next();
  while (!next.done) next = flow.next(executeEffect(next.value));
  return next.value;
}

const facts: PlanFacts = {
  versions: [],
  targets: [
    {
      target: 'engine-1',
      instance: 'bilbao-1',
      zone: 'bilbao-hall',
      kind: 'modelEngine',
      fencing: 'checked',
      live: true,
    },
  ],
  originRate: 1_000_000,
  instanceRate: 1_000_000,
  moves: [],
};

function plan(
  planId: string,
  operator: string,
  base: AcceptedConfiguration,
  change: unknown,
): Plan {
  const intent = parseIntent({changes: [change]}).unwrap();
  const request = {intent, base, facts, planId, operator, now: 0, digestText};
  return runFlow(storePlan(planIntent(request).unwrap())).unwrap();
}

const initial = initialConfiguration(digestText);
const join = {kind: 'join', targets: ['engine-1']};
const workspace = {kind: 'workspace', workspace: 'dealers', priority: 1};
const first = plan('plan-1', 'Ane', initial, join);
plan('plan-2', 'Jon', initial, workspace);
for (const {subject, before, after} of first.changes) {
  console.log(`${subject.kind} ${subject.name}: ${before} -> ${after}`);
}

const confirmed = runFlow(confirmPlan('plan-1', {digestText})).unwrap();
console.log(`plan-1 is generation ${confirmed.accepted.generation}`);
const again = runFlow(confirmPlan('plan-1', {digestText})).unwrap();
console.log(`confirmed again: still generation ${again.accepted.generation}`);

const refused = runFlow(confirmPlan('plan-2', {digestText}));
if (refused.err && refused.val.kind === 'overtaken') {
  const [other] = refused.val.others;
  console.log(`plan-2 was overtaken by ${other?.planId} of ${other?.operator}`);
  console.log(refused.val.advice);
}

const manager = createGenerationManager({
  instance: 'oviedo-1',
  digestText,
  start: initial,
  startedAt: 0,
});
manager.offer(confirmed.accepted, {kind: 'platform'}, 0).unwrap();
console.log(`oviedo-1 has generation ${manager.current().generation}`);
const late = manager.offer(initial, {kind: 'peer', peer: 'bilbao-1'}, 1);
console.log(`a late copy is refused: ${late.err && late.val.kind}`);
