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

/** Prefix of the keys of the agents' rows. */
const AGENT_KEY_PREFIX = 'agents/';

/** Max agents' rows read for a plan; over three times the largest site. */
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

/** The description of its target that an agent stores for planning. */
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
 * Reads all targets of the site from the agents' rows, as an entry holds
 * sessions with only a few targets. Instances that are not in the platform's
 * list are left out.
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
