import type {ModelName, VersionDigest} from '../types';
import type {ReconcilerMemory} from './reconciler_memory';
import type {
  EngineOrder,
  ObservedReport,
  ReconcileInput,
  ReconcilerSettings,
  ReportedVersion,
  WantedState,
} from './types';

/** The wanted state of a target that is to serve. */
export type Serving = Extract<WantedState, {kind: 'serve'}>;

/** One reconcile pass over a target that is to serve. */
export interface Pass {
  readonly settings: ReconcilerSettings;
  readonly memory: ReconcilerMemory;
  readonly input: ReconcileInput;
  readonly wanted: Serving;
  readonly observed: ObservedReport;
  readonly loaded: readonly ReportedVersion[];
  readonly orders: EngineOrder[];
  readonly needsPermit: Set<ModelName>;
  readonly draining: VersionDigest[];
  readonly withoutRoom: VersionDigest[];
}

/** Whether the engine serves the model's wanted version. */
export function servesWanted(pass: Pass, model: ModelName): boolean {
  return pass.loaded.some(
    version => version.model === model && isWanted(pass, version),
  );
}

/** Whether the configuration wants exactly this version. */
export function isWanted(pass: Pass, version: ReportedVersion): boolean {
  return pass.wanted.versions.get(version.model) === version.versionDigest;
}
