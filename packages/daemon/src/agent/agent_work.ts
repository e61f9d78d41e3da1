import {mayServe, type AcceptedConfiguration} from '@hibiscusbeam/core';
import type {ServeRequest} from '@hibiscusbeam/wire';
import type {EngineControl} from './engine_control';
import type {Readiness} from './serve_handler';
import type {EngineRuns, PlainServiceRuns} from './target_runs';

/**
 * Refuses a request of a workspace that this system does not serve. Without
 * this, a late request of a workspace that has moved away would run here while
 * its caller has the older system run it too.
 */
export function refuseClosedWorkspace(
  {workspace}: Pick<ServeRequest, 'workspace'>,
  accepted: AcceptedConfiguration | undefined,
): Readiness | undefined {
  const isServed =
    accepted !== undefined && mayServe(workspace, accepted.configuration);
  return isServed ? undefined : {kind: 'notReady', reason: 'workspaceClosed'};
}

/** Whether a model engine can take the request, and how to run it. */
export function prepareGenerate(
  request: ServeRequest,
  control: EngineControl | undefined,
  isTargetOwned: boolean,
  runs: EngineRuns,
): Readiness {
  const {work, attempt, priority} = request;
  // `routable` is as old as the last reconcile pass, the configuration is
  // current. Without the check of ownership, an agent could report that a
  // target closed by a move is idle and still start a request before its next
  // pass.
  if (work?.$case !== 'generate' || control === undefined || !isTargetOwned) {
    return {kind: 'notReady', reason: 'noTarget'};
  }
  const {model, versionDigest, prompt, maximumTokens} = work.generate;
  const version = control
    .routable()
    .find(
      routable =>
        routable.model === model &&
        (versionDigest === '' || routable.versionDigest === versionDigest),
    );
  if (version === undefined || !control.mayStart(version.versionDigest)) {
    return {kind: 'notReady', reason: 'noTarget'};
  }
  return {
    kind: 'ready',
    run: timeout => {
      // The exact version is requested, so that an engine that swaps versions
      // before it starts refuses instead of answering with another version.
      const chosen = version.versionDigest;
      control.recordRun(chosen, 1);
      const run = runs.run(
        {
          attempt,
          model,
          versionDigest: chosen,
          prompt,
          maximumTokens,
          priority,
        },
        timeout,
      );
      return {...run, ended: () => control.recordRun(chosen, -1)};
    },
  };
}

/** Whether a plain service can take the request, and how to run it. */
export function prepareCall(
  request: ServeRequest,
  service: string,
  isTargetOwned: boolean,
  runs: PlainServiceRuns,
): Readiness {
  const {work, attempt} = request;
  if (
    work?.$case !== 'call' ||
    work.call.service !== service ||
    !isTargetOwned
  ) {
    return {kind: 'notReady', reason: 'noTarget'};
  }
  const {operation, body} = work.call;
  return {
    kind: 'ready',
    run: timeout => ({
      ...runs.run(attempt, operation, body, timeout),
      ended: () => undefined,
    }),
  };
}
