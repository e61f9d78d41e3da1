import {
  createActivation,
  type AcceptedConfiguration,
  type Activation,
  type ModelName,
  type TargetName,
} from '@hibiscusbeam/core';
import type {TableService} from '@hibiscusbeam/platform';
import type {Log} from '../logs';
import type {Clock} from '../runtime/clock';
import {runTableFlow} from '../runtime/table_flow';
import type {AgentIncarnation} from './incarnation';

/** This target's permits to stop serving a model during a swap. */
export interface Permits {
  readonly held: () => ReadonlySet<ModelName>;
  /** Requests a permit; without one nothing is swapped. */
  readonly take: (model: ModelName, gone: ReadonlySet<TargetName>) => void;
  /** Counts this target as serving the model, which ends its permit. */
  readonly reportServing: (model: ModelName) => void;
  readonly isServing: (model: ModelName) => boolean;
}

/** Creates the permits of one incarnation of an agent. */
export function createPermits(options: {
  readonly target: TargetName;
  readonly instance: string;
  readonly agentIncarnation: AgentIncarnation;
  readonly table: TableService;
  readonly clock: Clock;
  readonly log: Log;
  readonly accepted: () => AcceptedConfiguration;
  readonly onStep: (step: 'permitTaken' | 'serving') => void;
  readonly evidence: (model: ModelName) => {
    readonly loaded: boolean;
    readonly fenced: boolean;
  };
}): Permits {
  const {target, instance, agentIncarnation, table, clock, log} = options;
  const activations = new Map<ModelName, Activation>();
  const serving = new Set<ModelName>();
  const modelsInProgress = new Set<ModelName>();

  const activationOf = (model: ModelName): Activation => {
    const known = activations.get(model);
    if (known !== undefined) return known;
    const created = createActivation({
      model,
      target,
      instance,
      incarnation: agentIncarnation.incarnation,
      token: agentIncarnation.token,
      stillCurrent: agentIncarnation.stillCurrent,
    });
    activations.set(model, created);
    return created;
  };

  /** Runs one flow at a time for each model; further calls are ignored. */
  const runExclusively = async (
    model: ModelName,
    action: (activation: Activation) => Promise<void>,
  ): Promise<void> => {
    if (modelsInProgress.has(model)) return;
    modelsInProgress.add(model);
    try {
      await action(activationOf(model));
    } finally {
      modelsInProgress.delete(model);
    }
  };

  const take: Permits['take'] = (model, gone) =>
    void runExclusively(model, async activation => {
      const {generation, configuration} = options.accepted();
      const described = configuration.models[model];
      const request = {
        generation,
        capacityFloor: described?.capacityFloor ?? 0,
        configured: described?.targets ?? [],
        gone,
      };
      const flow = activation.takePermit(request);
      const result = await runTableFlow(flow, table, clock);
      if (result.err) {
        return log.debug(`no permit to swap ${model}`, {reason: result.val});
      }
      serving.delete(model);
      options.onStep('permitTaken');
      log.info(`may stop serving ${model} during its swap`);
    });

  const reportServing: Permits['reportServing'] = model =>
    void runExclusively(model, async activation => {
      const {generation} = options.accepted();
      const flow = activation.reportServing({
        generation,
        ...options.evidence(model),
      });
      const result = await runTableFlow(flow, table, clock);
      if (result.err) {
        return log.debug(`not yet counted as a server of ${model}`, {
          reason: result.val,
        });
      }
      serving.add(model);
      options.onStep('serving');
      log.info(`counts as serving ${model}`);
    });

  return {
    held: () =>
      new Set(
        [...activations]
          .filter(([, activation]) => activation.holdsPermit())
          .map(([model]) => model),
      ),
    take,
    reportServing,
    isServing: model => serving.has(model),
  };
}
