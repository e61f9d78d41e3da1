import {initialConfiguration} from '@hibiscusbeam/core';
import type {ServeRequest} from '@hibiscusbeam/wire';
import {expect, test} from 'vitest';
import {
  prepareGenerate,
  refuseClosed,
} from '../../packages/daemon/src/agent/agent_work';
import type {EngineControl} from '../../packages/daemon/src/agent/engine_control';
import type {EngineRuns} from '../../packages/daemon/src/agent/target_runs';
import {digestText} from '../../packages/daemon/src/runtime/digests';

const VERSION = {model: 'repair-notes', versionDigest: 'sha256:1'};

/** As the last pass over the engine left it. */
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

// What a user sees: the engine runs a request of ours beside the older system's
// orders. The target closes; the agent says that it is idle; before its next
// pass over the engine a request comes, and the last pass had it routable.
test('a closed target starts nothing, whatever its last pass found', () => {
  expect(prepare(true)).toBe('ready');
  expect(prepare(false)).toBe('notReady');
});

test('a request of a workspace that is closed or not ours is refused', () => {
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
    return refuseClosed(request, {...base, configuration})?.kind;
  };
  expect(at('hibiscusbeam', true)).toBeUndefined();
  expect(at('hibiscusbeam', false)).toBe('notReady');
  expect(at('older-system', true)).toBe('notReady');
  expect(refuseClosed(request, undefined)?.kind).toBe('notReady');
});
