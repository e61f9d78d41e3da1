import type {Generation, TableRow, TableTransaction} from '../../types';
import type {GenerationStatus, ProcessGeneration} from '../types';
import {decodePlanRow} from './rows';

/** Generations behind the head after which nobody looks at a plan any more. */
const PLAN_HISTORY = 64;

/** Whether a generation is in force everywhere, and who lags if not. */
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
 * Transactions that delete plan rows from long ago. A plan whose base is
 * behind the head can't be confirmed any more, so no outcome changes: only
 * the answer becomes `unknownPlan`.
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
