import {initialConfiguration} from '@hibiscusbeam/core';
import type {ServeRequest} from '@hibiscusbeam/wire';
import {expect, test} from 'vitest';
import {
  prepareGenerate,
  refuseClosedWorkspace,
} from '../../packages/daemon/src/agent/agent_work';
import type {EngineControl} from '../../packages/daemon/src/agent/engine_control';
import type {EngineRuns} from '../../packages/daemon/src/agent/target_runs';
import {digestText} from '../../packages/daemon/src/runtime/digests';

const VERSION = {model: 'repair-notes', versionDigest: 'sha256:1'};

/** Result of the last pass over the engine. */
const control = {
  routable: () => [VERSION],
  mayStart: () => true,
} as unknown as EngineControl;

const request: ServeRequest = {
  attempt: 'a-1',
  workspace: 'call-centre',
  incarnation: 1,
  work: {
    $case: 'generate',
    generate: {
      model: 'repair-notes',
      versionDigest: '',
      prompt: 'why',
      maximumTokens: 1,
    },
  },
  deadlineMilliseconds: 1_000,
  priority: 1,
  repeatable: true,
};

const prepare = (isOurs: boolean) =>
  prepareGenerate(request, control, isOurs, {} as EngineRuns).kind;

// A target closes and its agent reports that it is idle. A request that arrives
// before the next pass over the engine still finds the version routable, and
// would run alongside the older system's orders.
test('a closed target starts no request, whatever its last pass found', () => {
  expect(prepare(true)).toBe('ready');
  expect(prepare(false)).toBe('notReady');
});

test('a request is refused if its workspace is closed or owned by the older system', () => {
  const base = initialConfiguration(digestText);
  const at = (owner: 'older-system' | 'hibiscusbeam', open: boolean) => {
    const workspace = {
      owner,
      open,
      priority: 1,
      weight: 1,
      requestsPerSecond: 1,
    };
    const workspaces = {'call-centre': workspace};
    const configuration = {...base.configuration, workspaces};
    return refuseClosedWorkspace(request, {...base, configuration})?.kind;
  };
  expect(at('hibiscusbeam', true)).toBeUndefined();
  expect(at('hibiscusbeam', false)).toBe('notReady');
  expect(at('older-system', true)).toBe('notReady');
  expect(refuseClosedWorkspace(request, undefined)?.kind).toBe('notReady');
});
