import {Err, Ok, type Result} from 'ts-results';
import {unreachable} from '../../kernel/flow';
import type {Intent, IntentChange, IntentFault} from '../types';
import {intentSchema} from './intent_schema';

/**
 * Validates an intent that was parsed from YAML or JSON. Defaults:
 * `capacityFloor` 0, `prefer` time, `summary` generated from the changes.
 * Planning fills in the other omitted fields. On failure, returns all faults
 * with the paths of their fields.
 */
export function parseIntent(input: unknown): Result<Intent, IntentFault[]> {
  const parsed = intentSchema.safeParse(input);
  if (!parsed.success) {
    return new Err(
      parsed.error.issues.map(issue => ({
        path: formatPath(issue.path),
        detail: issue.message,
      })),
    );
  }
  const {changes, summary} = parsed.data;
  return new Ok({
    summary: summary === '' ? summarize(changes) : summary,
    changes,
  });
}

function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map(part => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}

function summarize(changes: readonly IntentChange[]): string {
  return changes.map(summarizeChange).join('; ');
}

function summarizeChange(change: IntentChange): string {
  switch (change.kind) {
    case 'serve':
      return `serve ${change.model} ${change.version}`;
    case 'join':
      return `join ${formatCount(change.targets, 'target')}`;
    case 'leave':
      return `leave ${formatCount(change.targets, 'target')}`;
    case 'workspace':
      return `workspace ${change.workspace}`;
    case 'service':
      return `service ${change.service}`;
    case 'own':
      return `move ${formatCount([...change.targets, ...change.workspaces], 'item')} to ${change.owner}`;
    case 'switch-off':
      return 'switch off the older system';
    default:
      return unreachable(change);
  }
}

function formatCount(names: readonly string[], noun: string): string {
  const [only] = names;
  if (names.length === 1 && only !== undefined) return only;
  return `${names.length} ${noun}s`;
}
