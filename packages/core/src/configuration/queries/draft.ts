import type {
  ModelConfiguration,
  SiteConfiguration,
  TargetConfiguration,
  WorkspaceConfiguration,
} from '../../types';
import type {MoveItem, PlanFault, PlanFaultReason} from '../types';

/** An unfinished plan: the configuration so far and the items to move. */
export interface Draft {
  readonly configuration: SiteConfiguration;
  readonly moved: readonly MoveItem[];
}

/** Result of one change. If there are faults, the draft is unchanged. */
export interface ChangedDraft {
  readonly draft: Draft;
  readonly faults: readonly PlanFault[];
}

/** Creates a fault of the change at `path`. */
export function planFault(
  kind: PlanFaultReason,
  path: string,
  detail: string,
): PlanFault {
  return {kind, path, detail};
}

/** Returns the draft with one target added or replaced. */
export function withTarget(
  draft: Draft,
  name: string,
  target: TargetConfiguration,
): Draft {
  const {configuration} = draft;
  const targets = {...configuration.targets, [name]: target};
  return {...draft, configuration: {...configuration, targets}};
}

/** Returns the draft with one model added or replaced. */
export function withModel(
  draft: Draft,
  name: string,
  model: ModelConfiguration,
): Draft {
  const {configuration} = draft;
  const models = {...configuration.models, [name]: model};
  return {...draft, configuration: {...configuration, models}};
}

/** Returns the draft with one workspace added or replaced. */
export function withWorkspace(
  draft: Draft,
  name: string,
  workspace: WorkspaceConfiguration,
): Draft {
  const {configuration} = draft;
  const workspaces = {...configuration.workspaces, [name]: workspace};
  return {...draft, configuration: {...configuration, workspaces}};
}

/** Returns the draft with `target` removed from every model that it serves. */
export function withoutServing(draft: Draft, target: string): Draft {
  const models = Object.entries(draft.configuration.models);
  return models.reduce((changed, [name, model]) => {
    if (!model.targets.includes(target)) return changed;
    const targets = model.targets.filter(other => other !== target);
    return withModel(changed, name, {...model, targets});
  }, draft);
}
