import {
  type InstanceName,
  type JsonValue,
  type KnownTarget,
  type PlatformError,
  type TableRow,
} from '@hibiscusbeam/core';
import type {ListedInstance, TableService} from '@hibiscusbeam/platform';
import {Ok, type Result} from 'ts-results';
import * as z from 'zod';
import type {AgentSettings} from '../types/settings';

/** Start of the keys of the agents' rows. */
const AGENT_KEY_PREFIX = 'agents/';

/** Agents' rows read for one plan; over three times the largest site. */
const MAX_AGENTS = 2_000;

const AGENT_ROW_SCHEMA = z.object({
  description: z.object({
    target: z.string(),
    kind: z.enum(['modelEngine', 'plainService']),
    service: z.string().nullable(),
    zone: z.string(),
    fencing: z.enum(['checked', 'ignored']),
  }),
});

/** What an agent's row says of its target, for those who plan. */
export function describeAgent(settings: AgentSettings): JsonValue {
  const {name, kind, service, fencing} = settings.target;
  return {
    target: name,
    kind,
    service: service ?? null,
    zone: settings.zone,
    fencing,
  };
}

/**
 * All targets of the site: from the agents' rows, since one entry of many
 * holds sessions with a few targets only. An instance that the platform's list
 * no longer names is left out.
 */
export async function readKnownTargets(
  table: TableService,
  listed: readonly ListedInstance[],
): Promise<Result<readonly KnownTarget[], PlatformError>> {
  const rows = await table.scan(AGENT_KEY_PREFIX, MAX_AGENTS);
  if (rows.err) return rows;
  const states = new Map(listed.map(line => [line.instance, line.state]));
  return Ok(
    rows.val.flatMap(row => {
      const instance = row.key.slice(AGENT_KEY_PREFIX.length);
      const state = states.get(instance);
      if (state === undefined) return [];
      return knownTargetOf(row, instance, state === 'live');
    }),
  );
}

function knownTargetOf(
  row: TableRow,
  instance: InstanceName,
  live: boolean,
): readonly KnownTarget[] {
  const parsed = AGENT_ROW_SCHEMA.safeParse(row.value);
  if (!parsed.success) return [];
  const {target, kind, service, zone, fencing} = parsed.data.description;
  const known = {target, instance, zone, kind, fencing, live};
  return [service === null ? known : {...known, service}];
}
