import {Err, Ok, type Result} from 'ts-results';
import * as z from 'zod';
import type {
  Generation,
  ModelName,
  TableKey,
  TableRow,
  TargetName,
} from '../types';
import type {ActivationError, ActivationSettings, SwapRequest} from './types';

const entrySchema = z.object({
  state: z.enum(['serving', 'swapping']),
  instance: z.string(),
  incarnation: z.number().int(),
  /** Unique to one taking of a permit; empty while serving. */
  permit: z.string(),
});

const activationRowSchema = z.object({
  /** Highest generation that a writer acted by. */
  generation: z.number().int(),
  targets: z.record(z.string(), entrySchema),
});

/** One target in a model's activation row. */
export type ActivationEntry = Readonly<z.infer<typeof entrySchema>>;

/** What a model's activation row holds. */
export interface ActivationRow {
  readonly generation: Generation;
  readonly targets: {readonly [target: TargetName]: ActivationEntry};
}

type RowResult = Result<ActivationRow, ActivationError>;

/** The row in which the targets of a model agree on who swaps. */
export function activationKey(model: ModelName): TableKey {
  return `activation/${model}`;
}

/** Checks a row's shape; an absent row is an empty one. */
export function parseActivationRow(row: TableRow | undefined): RowResult {
  if (row === undefined) return Ok({generation: 0, targets: {}});
  const parsed = activationRowSchema.safeParse(row.value);
  if (parsed.success) return Ok(parsed.data);
  return Err({kind: 'malformedRow', detail: `${row.key} holds no activation`});
}

/** The row with this target swapping, if enough others serve. */
export function withPermit(
  row: ActivationRow,
  settings: ActivationSettings,
  request: SwapRequest,
  permit: string,
): RowResult {
  // Guards against a count by an old configuration, which would show as
  // capacity under the floor: a target that has dropped the model since, or a
  // floor raised since, is not known to it.
  if (request.generation < row.generation) return configurationBehind(row);
  const {capacityFloor} = request;
  const serving = othersServing(row, settings.target, request);
  // Guards against too many swaps at once. The row's condition makes the count
  // and the permit one step, however many targets ask.
  if (serving < capacityFloor) {
    return Err({kind: 'floorReached', serving, capacityFloor});
  }
  const {instance, incarnation} = settings;
  const entry = {state: 'swapping', instance, incarnation, permit} as const;
  const configured = new Set([...request.configured, settings.target]);
  const kept = Object.entries(row.targets).filter(([target]) =>
    configured.has(target),
  );
  const targets = {...Object.fromEntries(kept), [settings.target]: entry};
  return Ok({generation: request.generation, targets});
}

/** The row with this target serving. */
export function withServing(
  row: ActivationRow,
  settings: ActivationSettings,
  generation: Generation,
): RowResult {
  const {instance, incarnation, target} = settings;
  const entry = {state: 'serving', instance, incarnation, permit: ''} as const;
  return Ok({
    generation: Math.max(generation, row.generation),
    targets: {...row.targets, [target]: entry},
  });
}

/** The row without this target. */
export function withoutTarget(
  row: ActivationRow,
  target: TargetName,
  generation: Generation,
): RowResult {
  const kept = Object.entries(row.targets).filter(([name]) => name !== target);
  return Ok({
    generation: Math.max(generation, row.generation),
    targets: Object.fromEntries(kept),
  });
}

function othersServing(
  row: ActivationRow,
  self: TargetName,
  request: SwapRequest,
): number {
  return request.configured.filter(target => {
    if (target === self || request.gone.has(target)) return false;
    // A permit whose holder died is not counted as serving until a later agent
    // of that target has fenced it off and seen the engine's report.
    return row.targets[target]?.state === 'serving';
  }).length;
}

function configurationBehind({generation}: ActivationRow): RowResult {
  return Err({kind: 'configurationBehind', generation});
}
