import {unreachable} from '../../kernel/flow';
import type {ModelName} from '../../types';
import {
  forgetUnloadedVersions,
  loadedVersions,
  type ReconcilerMemory,
} from '../reconciler_memory';
import {isWanted, servesWanted, type Pass, type Serving} from '../pass';
import type {
  ObservedReport,
  ReconcileInput,
  ReconcilePlan,
  ReconcilerSettings,
  ReportedVersion,
} from '../types';
import {fitsAlongside} from '../queries/engine_memory';
import {planLoads} from './plan_loads';

const EMPTY_PLAN: ReconcilePlan = {
  orders: [],
  routable: [],
  needsPermit: [],
  permitDone: [],
  draining: [],
  withoutRoom: [],
};

/** Compares the wanted with the reported state. */
export function planPass(
  settings: ReconcilerSettings,
  memory: ReconcilerMemory,
  input: ReconcileInput,
): ReconcilePlan {
  const {wanted, observed} = input;
  if (observed !== undefined) memory.life = observed.report.life;
  memory.routable = [];
  if (memory.replaced) return EMPTY_PLAN;
  switch (wanted.kind) {
    case 'notOurs':
    case 'leaving':
      return EMPTY_PLAN;
    case 'serve':
      memory.fencingSupport = wanted.fencing;
      if (observed === undefined) return EMPTY_PLAN;
      return planServing(settings, memory, input, wanted, observed);
    default:
      return unreachable(wanted);
  }
}

function planServing(
  settings: ReconcilerSettings,
  memory: ReconcilerMemory,
  input: ReconcileInput,
  wanted: Serving,
  observed: ObservedReport,
): ReconcilePlan {
  const pass: Pass = {
    settings,
    memory,
    input,
    wanted,
    observed,
    loaded: loadedVersions(memory, observed),
    orders: [],
    needsPermit: new Set(),
    draining: [],
    withoutRoom: [],
  };
  forgetUnloadedVersions(memory, observed.report);
  for (const version of pass.loaded) {
    if (isWanted(pass, version)) memory.closed.delete(version.versionDigest);
    else planUnload(pass, version);
  }
  planLoads(pass);
  memory.routable = routableVersions(pass);
  return {
    orders: pass.orders,
    routable: memory.routable,
    needsPermit: [...pass.needsPermit],
    permitDone: [...input.permits].filter(model => isPermitDone(pass, model)),
    draining: pass.draining,
    withoutRoom: pass.withoutRoom,
  };
}

function planUnload(pass: Pass, version: ReportedVersion): void {
  if (!mayUnload(pass, version)) {
    pass.memory.closed.delete(version.versionDigest);
    return;
  }
  // The version is closed before its running requests are counted and stays
  // closed until it is gone, so that no request starts on it after its unload
  // was decided.
  pass.memory.closed.add(version.versionDigest);
  // The version is unloaded only after its last request: cutting a request in
  // progress would leave an answer without its end.
  if ((pass.input.requestsRunning.get(version.versionDigest) ?? 0) > 0) {
    pass.draining.push(version.versionDigest);
    return;
  }
  pass.orders.push({kind: 'unload', versionDigest: version.versionDigest});
}

function mayUnload(pass: Pass, version: ReportedVersion): boolean {
  const {model} = version;
  if (servesWanted(pass, model)) return true;
  const wanted = pass.wanted.versions.get(model);
  if (wanted === undefined) {
    if (!pass.wanted.servedElsewhere.has(model)) return true;
  } else {
    // Until the new version is complete here, the old one continues to serve.
    const manifest = pass.input.verified.get(wanted);
    if (manifest === undefined) return false;
    if (fitsAlongside(pass, wanted, manifest)) return false;
  }
  // Without the permit, too many targets could be without a version of the
  // model at once, and its capacity would fall below the floor.
  if (pass.input.permits.has(model)) return true;
  pass.needsPermit.add(model);
  return false;
}

function isPermitDone(pass: Pass, model: ModelName): boolean {
  if (pass.wanted.versions.has(model)) return servesWanted(pass, model);
  // If the permit were returned while the unload is still in flight, the target
  // would count as serving until the version goes. Only the report shows that
  // the version is gone.
  return !pass.observed.report.loaded.some(version => version.model === model);
}

function routableVersions(pass: Pass): readonly ReportedVersion[] {
  return pass.loaded.filter(version => {
    if (pass.memory.closed.has(version.versionDigest)) return false;
    return pass.wanted.versions.has(version.model);
  });
}
