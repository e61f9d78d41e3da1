import type {Generation, TableRow, TableTransaction} from '../../types';
import type {GenerationStatus, ProcessGeneration} from '../types';
import {decodePlanRow} from './rows';

/** Number of generations behind the head after which a plan row is deleted. */
const PLAN_HISTORY = 64;

/**
 * Whether a generation is in force at all processes, and which processes lag if
 * not.
 */
export function getGenerationStatus(
  generation: Generation,
  processes: readonly ProcessGeneration[],
): GenerationStatus {
  const lagging = processes.filter(
    process => (process.generation ?? -1) < generation,
  );
  return {isInForce: lagging.length === 0, lagging};
}

/**
 * Builds transactions that delete old plan rows. A plan whose base is behind
 * the head can't be confirmed any more, so no outcome changes; only the answer
 * becomes `unknownPlan`.
 */
export function trimPlans(
  rows: readonly TableRow[],
  head: Generation,
): readonly TableTransaction[] {
  return rows
    .filter(row => {
      const plan = decodePlanRow(row)?.plan;
      return plan !== undefined && plan.base + PLAN_HISTORY < head;
    })
    .map(({key, version}) => ({
      conditions: [{kind: 'versionIs', key, version}],
      writes: [{kind: 'delete', key}],
    }));
}
