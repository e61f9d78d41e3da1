import {dirname, resolve} from 'node:path';
import {socketAddressSchema} from './scalars';
import type {FieldPath, ReadText, UnlocatedFault} from './types';

const MIN_SITE_KEY_LENGTH = 16;

/** The site's key, empty if there are faults. */
export interface SiteKeyReading {
  readonly siteKey: string;
  readonly faults: readonly UnlocatedFault[];
}

/**
 * Finds faults that involve several fields. Works on the values as written, so
 * that these faults are found whatever else is wrong with the file.
 */
export function findCrossFaults(value: unknown): readonly UnlocatedFault[] {
  return [
    ...findClashingAddress(value),
    ...findDuplicateKeys(value),
    ...findServiceFaults(value),
  ];
}

/** Reads the site's key; a relative path starts at the settings file. */
export function readSiteKey(
  value: unknown,
  settingsFile: string,
  readText: ReadText,
): SiteKeyReading {
  const path = ['keys', 'siteKeyFile'];
  const named = valueAt(value, path);
  if (typeof named !== 'string' || named === '') {
    return {siteKey: '', faults: []};
  }
  const file = resolve(dirname(settingsFile), named);
  const content = readText(file);
  if (content.err) {
    return keyFileFault(
      path,
      `key file ${file} cannot be read: ${content.val}`,
    );
  }
  const siteKey = content.val.trim();
  if (siteKey.length < MIN_SITE_KEY_LENGTH) {
    return keyFileFault(
      path,
      `key file ${file} must hold at least ${MIN_SITE_KEY_LENGTH} characters`,
    );
  }
  // The key is sent in a header, which allows only these characters.
  if (!/^[\x21-\x7e]+$/.test(siteKey)) {
    return keyFileFault(
      path,
      `key file ${file} must hold one line of plain text`,
    );
  }
  return {siteKey, faults: []};
}

function keyFileFault(path: FieldPath, detail: string): SiteKeyReading {
  return {siteKey: '', faults: [{kind: 'unusableKeyFile', path, detail}]};
}

function findClashingAddress(value: unknown): readonly UnlocatedFault[] {
  const site = socketAddressSchema.safeParse(
    valueAt(value, ['listen', 'site']),
  );
  const callersPath = ['listen', 'callers'];
  const callers = socketAddressSchema.safeParse(valueAt(value, callersPath));
  if (!site.success || !callers.success) return [];
  const same =
    site.data.port === callers.data.port &&
    site.data.host === callers.data.host;
  if (!same) return [];
  const detail = 'clashes with listen.site: both listen on the same address';
  return [{kind: 'clash', path: callersPath, detail}];
}

/**
 * A key that belongs to two names would let one caller act as the other;
 * which name applies would depend on the order of the list.
 */
function findDuplicateKeys(value: unknown): readonly UnlocatedFault[] {
  const owners = new Map<string, string>();
  return ['operators', 'workspaces'].flatMap(list => {
    const names = new Set<string>();
    return listAt(value, ['keys', list]).flatMap((item, position) => {
      const path = ['keys', list, position];
      const faults: UnlocatedFault[] = [];
      const name = valueAt(item, ['name']);
      if (typeof name === 'string') {
        if (names.has(name)) faults.push(clash([...path, 'name'], name));
        names.add(name);
      }
      const hash = valueAt(item, ['sha256']);
      if (typeof hash === 'string') {
        const owner = owners.get(hash);
        if (owner !== undefined) faults.push(clash([...path, 'sha256'], owner));
        owners.set(hash, path.join('.'));
      }
      return faults;
    });
  });
}

function clash(path: FieldPath, other: string): UnlocatedFault {
  return {kind: 'clash', path, detail: `is already taken by ${other}`};
}

function findServiceFaults(value: unknown): readonly UnlocatedFault[] {
  const kind = valueAt(value, ['target', 'kind']);
  const service = valueAt(value, ['target', 'service']);
  const path = ['target', 'service'];
  if (kind === 'plainService' && service === undefined) {
    const detail = 'is required for a plainService';
    return [{kind: 'missingField', path, detail}];
  }
  if (kind === 'modelEngine' && service !== undefined) {
    const detail = 'is not a setting of a modelEngine';
    return [{kind: 'clash', path, detail}];
  }
  return [];
}

function listAt(value: unknown, path: FieldPath): readonly unknown[] {
  const list = valueAt(value, path);
  return Array.isArray(list) ? list : [];
}

/** The value at `path`; `undefined` if there is none. */
export function valueAt(value: unknown, path: FieldPath): unknown {
  let part = value;
  for (const step of path) {
    if (typeof part !== 'object' || part === null) return undefined;
    if (!Object.hasOwn(part, step)) return undefined;
    part = (part as {readonly [name: string | number]: unknown})[step];
  }
  return part;
}
