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

/** Compares wanted and reported state. */
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
  // Closing comes before the count is taken and lasts until the version is
  // gone, so that no request begins on it after its unload was decided.
  pass.memory.closed.add(version.versionDigest);
  // Guards against cutting a request in progress, which would show as an
  // answer without its end: the version goes only after its last request.
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
    // Until the new version is whole here, the old one serves on.
    const manifest = pass.input.verified.get(wanted);
    if (manifest === undefined) return false;
    if (fitsAlongside(pass, wanted, manifest)) return false;
  }
  // Guards against too many targets without a version at once, which would
  // show as capacity under the floor.
  if (pass.input.permits.has(model)) return true;
  pass.needsPermit.add(model);
  return false;
}

function isPermitDone(pass: Pass, model: ModelName): boolean {
  if (pass.wanted.versions.has(model)) return servesWanted(pass, model);
  // Guards against a permit returned while the unload is still under way: the
  // target would count as serving and then go. Only the report itself says
  // that the version is gone.
  return !pass.observed.report.loaded.some(version => version.model === model);
}

function routableVersions(pass: Pass): readonly ReportedVersion[] {
  return pass.loaded.filter(version => {
    if (pass.memory.closed.has(version.versionDigest)) return false;
    return pass.wanted.versions.has(version.model);
  });
}
