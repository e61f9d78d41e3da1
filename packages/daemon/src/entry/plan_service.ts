import {randomBytes} from 'node:crypto';
import {
  abandonPlan,
  bodyKey,
  decodeAccepted,
  decodeHead,
  HEAD_KEY,
  checkManifest,
  confirmPlan,
  decodeMoveRow,
  decodePlanRow,
  findAwaitedProcesses,
  type Generation,
  getGenerationStatus,
  MOVE_PREFIX,
  moveKey,
  parseIntent,
  PLAN_PREFIX,
  planIntent,
  planKey,
  storePlan,
  trimPlans,
  requiredVersions,
  type AcceptedConfiguration,
  type Intent,
  type Plan,
  type PlanFacts,
  type PlanId,
  type PlannedMove,
  type PlanRow,
  type VersionFact,
} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import {parse as parseYaml} from 'yaml';
import {digestText} from '../runtime/digests';
import {runTableFlow} from '../runtime/table_flow';
import type {
  PlanRefusal,
  MoveView,
  PlanService,
  PlanServiceOptions,
} from './plan_service_types';

/** Maximum number of plans returned in a list. */
const MAX_LISTED_PLANS = 200;

/** Maximum number of plans checked in one round of trimming. */
const MAX_TRIMMED_PLANS = 500;

/** Number of generations after which old plans are trimmed. */
const GENERATIONS_PER_TRIM = 16;

/** Maximum number of moves read for planning; more are never open at once. */
const MAX_MOVES = 1_000;

/** Creates a plan service on the platform's table. */
export function createPlanService(options: PlanServiceOptions): PlanService {
  const {platform, clock} = options;
  const {table} = platform;

  const plan: PlanService['plan'] = async (text, operator) => {
    const current = options.current();
    if (current === undefined) return Err({kind: 'starting'});
    const base = await readNewest(current);
    const intent = readIntent(text);
    if (intent.err) return intent;
    const facts = await gatherFacts(intent.val);
    if (facts.err) return facts;
    const planned = planIntent({
      intent: intent.val,
      base,
      facts: facts.val,
      planId: newPlanId(),
      operator,
      now: Date.now(),
      digestText,
    });
    if (planned.err) return Err({kind: 'planRefused', faults: planned.val});
    return store(planned.val);
  };

  /**
   * Returns the configuration that the head row names. This entry may be a
   * heartbeat behind another one that has just committed. A plan based on the
   * configuration known here would be refused for reasons that no longer hold,
   * or be overtaken once confirmed.
   */
  const readNewest = async (
    current: AcceptedConfiguration,
  ): Promise<AcceptedConfiguration> => {
    const row = await table.read(HEAD_KEY);
    const head =
      row.ok && row.val !== undefined ? decodeHead(row.val) : undefined;
    if (head === undefined || head.generation <= current.generation) {
      return current;
    }
    const body = await table.read(bodyKey(head.generation));
    const value = body.ok ? body.val?.value : undefined;
    const accepted = decodeAccepted(value, digestText);
    if (accepted === undefined) return current;
    options.onCommitted(accepted);
    return accepted;
  };

  const store = async (
    planned: Plan,
  ): Promise<Result<PlanRow, PlanRefusal>> => {
    const stored = await runTableFlow(storePlan(planned), table, clock);
    if (stored.err) return Err({kind: 'notCommitted', fault: stored.val});
    return Ok({plan: planned, state: {kind: 'planned'}});
  };

  const gatherFacts = async (
    intent: Intent,
  ): Promise<Result<PlanFacts, PlanRefusal>> => {
    const versions = await Promise.all(
      requiredVersions(intent).map(readVersion),
    );
    const unreadable = versions.find(version => version.err);
    if (unreadable?.err === true) return unreadable;
    const moves = await readMoves();
    if (moves.err) return moves;
    const targets = await options.knownTargets();
    if (targets.err) return Err({kind: 'platform', error: targets.val});
    return Ok({
      versions: versions.filter(version => version.ok).map(({val}) => val),
      targets: targets.val,
      moves: moves.val,
      ...options.rates,
    });
  };

  const readVersion = async ({
    model,
    version,
  }: {
    readonly model: string;
    readonly version: string;
  }): Promise<Result<VersionFact, PlanRefusal>> => {
    const missing = (detail: string): Result<VersionFact, PlanRefusal> =>
      Ok({kind: 'missing', model, version, detail});
    const resolved = version.startsWith('sha256:')
      ? Ok(version)
      : await platform.weights.resolve(model, version);
    if (resolved.err) {
      if (resolved.val.kind === 'notFound') return missing('no such version');
      return Err({kind: 'platform', error: resolved.val});
    }
    const fetched = await platform.weights.manifest(resolved.val);
    if (fetched.err && fetched.val.kind === 'notFound') {
      return missing('the origin has no manifest of it');
    }
    if (fetched.err && fetched.val.kind !== 'malformed') {
      return Err({kind: 'platform', error: fetched.val});
    }
    const checked = checkManifest(
      resolved.val,
      fetched.ok ? fetched.val : undefined,
      digestText,
    );
    if (checked.err) {
      const detail = JSON.stringify(checked.val).slice(0, MAX_DETAIL_LENGTH);
      return Ok({kind: 'badManifest', model, version, detail});
    }
    const {manifest, versionDigest} = checked.val;
    const size = manifest.chunks.reduce((sum, chunk) => sum + chunk.size, 0);
    const {label} = manifest;
    return Ok({kind: 'resolved', model, version, versionDigest, label, size});
  };

  const readMoves = async (): Promise<
    Result<readonly PlannedMove[], PlanRefusal>
  > => {
    const rows = await table.scan(MOVE_PREFIX, MAX_MOVES);
    if (rows.err) return Err({kind: 'platform', error: rows.val});
    const moves = rows.val.map(decodeMoveRow);
    return Ok(
      moves.flatMap(move => (move?.state.kind === 'closed' ? [move.move] : [])),
    );
  };

  const confirm: PlanService['confirm'] = async planId => {
    const flow = confirmPlan(planId, {digestText});
    const confirmed = await runTableFlow(flow, table, clock);
    if (confirmed.err) {
      return Err({kind: 'notCommitted', fault: confirmed.val});
    }
    const {accepted, wasConfirmed} = confirmed.val;
    options.onCommitted(accepted);
    if (accepted.generation % GENERATIONS_PER_TRIM === 0) {
      void trim(accepted.generation);
    }
    // Not awaited, as the confirmation must not wait for a platform that has
    // just gone down. Other entries learn of the move from the head row.
    void beginMove(planId);
    return Ok({planId, generation: accepted.generation, wasConfirmed});
  };

  const beginMove = async (planId: PlanId): Promise<void> => {
    const row = await table.read(moveKey(planId));
    if (row.err || row.val === undefined) return;
    const isOpen = decodeMoveRow(row.val)?.state.kind === 'closed';
    if (isOpen) options.onMoveConfirmed(planId);
  };

  /**
   * Deletes old plans. Without this, the table would grow by 1,800 rows a day,
   * and a list would not contain the newest plans. After a failure, the next
   * round tries again.
   */
  const trim = async (head: Generation): Promise<void> => {
    const rows = await table.scan(PLAN_PREFIX, MAX_TRIMMED_PLANS);
    if (rows.err) return;
    for (const transaction of trimPlans(rows.val, head)) {
      await table.commit(transaction);
    }
  };

  const show: PlanService['show'] = async planId => {
    const row = await table.read(planKey(planId));
    if (row.err) return Err({kind: 'platform', error: row.val});
    const stored = row.val === undefined ? undefined : decodePlanRow(row.val);
    if (stored === undefined) {
      const fault = {kind: 'unknownPlan', planId} as const;
      return Err({kind: 'notCommitted', fault});
    }
    if (stored.state.kind !== 'confirmed') return Ok(stored);
    const processes = await options.requestGenerations();
    const generationStatus = getGenerationStatus(
      stored.state.generation,
      processes,
    );
    const {isInForce, lagging} = generationStatus;
    const shown = {...stored, inForce: isInForce, lagging};
    if (stored.plan.move === undefined) return Ok(shown);
    const move = await showMove(planId);
    if (move.err) return move;
    return Ok(move.val === undefined ? shown : {...shown, move: move.val});
  };

  const showMove = async (
    planId: PlanId,
  ): Promise<Result<MoveView | undefined, PlanRefusal>> => {
    const row = await table.read(moveKey(planId));
    if (row.err) return Err({kind: 'platform', error: row.val});
    const move = row.val === undefined ? undefined : decodeMoveRow(row.val);
    if (move === undefined) return Ok(undefined);
    const {state, closedAt} = move;
    if (state.kind !== 'closed') return Ok({state, closedAt, awaited: []});
    const reports = await options.survey();
    const awaited = findAwaitedProcesses(closedAt, move.move.items, reports);
    return Ok({state, closedAt, awaited});
  };

  const list: PlanService['list'] = async () => {
    const rows = await table.scan(PLAN_PREFIX, MAX_LISTED_PLANS);
    if (rows.err) return Err({kind: 'platform', error: rows.val});
    const plans = rows.val.map(decodePlanRow);
    return Ok(
      plans
        .filter(stored => stored !== undefined)
        .sort((left, right) => right.plan.plannedAt - left.plan.plannedAt),
    );
  };

  const abandon: PlanService['abandon'] = async planId => {
    const result = await runTableFlow(abandonPlan(planId), table, clock);
    if (result.err) return Err({kind: 'notCommitted', fault: result.val});
    return Ok(planId);
  };

  return {plan, confirm, show, list, abandon};
}

/** Maximum length of a manifest's faults shown to an operator. */
const MAX_DETAIL_LENGTH = 1_000;

function newPlanId(): PlanId {
  return `plan-${randomBytes(6).toString('hex')}`;
}

function readIntent(text: string): Result<Intent, PlanRefusal> {
  let value: unknown;
  try {
    value = parseYaml(text, {maxAliasCount: 0}) as unknown;
  } catch (error) {
    return Err({kind: 'notYaml', detail: (error as Error).message});
  }
  const intent = parseIntent(value);
  if (intent.err) return Err({kind: 'badIntent', faults: intent.val});
  return intent;
}
