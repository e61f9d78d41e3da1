import {Err} from 'ts-results';
import {withoutTarget, withPermit, withServing} from './activation_row';
import {changeRow} from './commands/change_row';
import type {
  Activation,
  ActivationFlow,
  ActivationSettings,
  ServingEvidence,
  SwapRequest,
} from './types';

/**
 * Creates the activation of one target: the permits and reports that coordinate
 * the swaps of one model.
 */
export function createActivation(settings: ActivationSettings): Activation {
  let lastFlow = 0;
  let holdsPermit = false;

  /**
   * Begins a flow. Earlier flows are superseded, and no permit counts as held.
   * The returned function tells whether this flow has been superseded.
   */
  function beginFlow(): () => boolean {
    lastFlow += 1;
    const flow = lastFlow;
    holdsPermit = false;
    return () => lastFlow !== flow;
  }

  function* takePermit(request: SwapRequest): ActivationFlow {
    const isSuperseded = beginFlow();
    // A unique permit name makes each permit a write, so the version condition
    // of an earlier report that is still in flight fails. Otherwise that report
    // would count the target as serving after it has unloaded.
    const permit = `${settings.token}#${lastFlow}`;
    const result = yield* changeRow(settings, {
      apply: row => withPermit(row, settings, request, permit),
      isDone: entry => entry?.permit === permit,
      isSuperseded,
    });
    if (isSuperseded()) return Err({kind: 'superseded'});
    holdsPermit = result.ok;
    return result;
  }

  function* reportServing(evidence: ServingEvidence): ActivationFlow {
    // Without this check, a target that an earlier agent may still unload, or
    // that has loaded nothing, would count as serving, and capacity would fall
    // below the floor.
    if (!evidence.loaded || !evidence.fenced) return Err({kind: 'notServing'});
    const isSuperseded = beginFlow();
    return yield* changeRow(settings, {
      apply: row => withServing(row, settings, evidence.generation),
      isDone: entry =>
        entry?.state === 'serving' &&
        entry.incarnation === settings.incarnation,
      isSuperseded,
    });
  }

  function* withdraw(generation: number): ActivationFlow {
    const isSuperseded = beginFlow();
    return yield* changeRow(settings, {
      apply: row => withoutTarget(row, settings.target, generation),
      isDone: entry => entry === undefined,
      isSuperseded,
    });
  }

  return {
    takePermit,
    reportServing,
    withdraw,
    holdsPermit: () => holdsPermit,
  };
}
