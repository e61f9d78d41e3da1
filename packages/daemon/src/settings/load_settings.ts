import {Err, Ok, type Result} from 'ts-results';
import type {
  AgentSettings,
  CommonSettings,
  EntrySettings,
  ProcessSettings,
} from '../types/settings';
import {findCrossFaults, readSiteKey, valueAt} from './cross_checks';
import {
  agentSchema,
  eitherRoleSchema,
  entrySchema,
  type CheckedAgent,
  type CheckedEntry,
} from './schema';
import {toFaults} from './schema_faults';
import {readSource} from './source';
import type {ReadText, SettingsFault} from './types';

/**
 * Checks and resolves a settings file. The error holds all faults, in the order
 * of the file.
 */
export function loadSettings(
  text: string,
  fileName: string,
  readText: ReadText,
): Result<ProcessSettings, readonly SettingsFault[]> {
  const source = readSource(text, fileName);
  if (source.value === undefined) return Err(sortByPosition(source.faults));
  const checked = schemaFor(source.value).safeParse(source.value);
  const key = readSiteKey(source.value, fileName, readText);
  const unlocated = [
    ...toFaults(source.value, checked.error?.issues ?? []),
    ...findCrossFaults(source.value),
    ...key.faults,
  ];
  const faults = [...source.faults, ...unlocated.map(source.locate)];
  if (faults.length > 0) return Err(sortByPosition(faults));
  return Ok(resolveSettings(checked.data as CheckedFile, key.siteKey));
}

type CheckedFile = CheckedEntry | CheckedAgent;

function schemaFor(value: unknown) {
  const role = valueAt(value, ['role']);
  if (role === 'entry') return entrySchema;
  if (role === 'agent') return agentSchema;
  return eitherRoleSchema;
}

function sortByPosition(
  faults: readonly SettingsFault[],
): readonly SettingsFault[] {
  return faults.toSorted(
    (left, right) => left.line - right.line || left.column - right.column,
  );
}

function resolveSettings(file: CheckedFile, siteKey: string): ProcessSettings {
  switch (file.role) {
    case 'entry':
      return resolveEntry(file, siteKey);
    case 'agent':
      return resolveAgent(file, siteKey);
  }
}

function resolveCommon(file: CheckedFile, siteKey: string): CommonSettings {
  return {
    instance: file.instance,
    zone: file.zone,
    region: file.region,
    siteAddress: file.listen.site,
    siteKey,
    platform: file.platform,
    log: file.log,
    metrics: file.metrics,
  };
}

function resolveEntry(file: CheckedEntry, siteKey: string): EntrySettings {
  return {
    ...resolveCommon(file, siteKey),
    role: 'entry',
    callerAddress: file.listen.callers,
    operatorKeys: file.keys.operators,
    workspaceKeys: file.keys.workspaces,
    olderSystem: file.olderSystem,
    limits: file.limits,
    addressesKeptFor: file.addressesKeptFor,
  };
}

function resolveAgent(file: CheckedAgent, siteKey: string): AgentSettings {
  return {
    ...resolveCommon(file, siteKey),
    role: 'agent',
    target: {...file.target, service: file.target.service},
    transferBuffer: file.transferBuffer,
  };
}
