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
  /** Unique to each permit; empty while serving. */
  permit: z.string(),
});

const activationRowSchema = z.object({
  /** Highest configuration generation that any writer has used. */
  generation: z.number().int(),
  targets: z.record(z.string(), entrySchema),
});

/** Entry of one target in a model's activation row. */
export type ActivationEntry = Readonly<z.infer<typeof entrySchema>>;

/** Content of a model's activation row. */
export interface ActivationRow {
  readonly generation: Generation;
  readonly targets: {readonly [target: TargetName]: ActivationEntry};
}

type RowResult = Result<ActivationRow, ActivationError>;

/**
 * Key of the row in which the targets of a model agree on which of them swap.
 */
export function activationKey(model: ModelName): TableKey {
  return `activation/${model}`;
}

/** Parses a row; an absent row is an empty one. */
export function parseActivationRow(row: TableRow | undefined): RowResult {
  if (row === undefined) return Ok({generation: 0, targets: {}});
  const parsed = activationRowSchema.safeParse(row.value);
  if (parsed.success) return Ok(parsed.data);
  return Err({kind: 'malformedRow', detail: `${row.key} holds no activation`});
}

/** Returns the row with this target swapping, if enough others serve. */
export function withPermit(
  row: ActivationRow,
  settings: ActivationSettings,
  request: SwapRequest,
  permit: string,
): RowResult {
  // An old configuration does not know a target that has dropped the model or a
  // floor that was raised since, and counting by it would let capacity fall
  // below the floor.
  if (request.generation < row.generation) return configurationBehind(row);
  const {capacityFloor} = request;
  const serving = othersServing(row, settings.target, request);
  // The version condition of the row makes the count and the permit one atomic
  // step, so concurrent requests never start too many swaps.
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

/** Returns the row with this target serving. */
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

/** Returns the row without this target. */
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
    // A target whose permit holder died counts as serving only after a later
    // agent of that target has fenced off the dead one and received the
    // engine's report.
    return row.targets[target]?.state === 'serving';
  }).length;
}

function configurationBehind({generation}: ActivationRow): RowResult {
  return Err({kind: 'configurationBehind', generation});
}
