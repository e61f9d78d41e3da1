import {createHash} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {stringify} from 'yaml';

/** Keys of the demo site; a real site generates its own. */
export const DEMO_KEYS = {
  site: 'demo-site-key-0123456789abcdef',
  operator: 'demo-operator-key',
  workspaces: {
    'shop-counter': 'demo-shop-counter-key',
    'call-centre': 'demo-call-centre-key',
    'mower-app': 'demo-mower-app-key',
  },
} as const;

/** Name of a workspace of the demo site. */
export type DemoWorkspace = keyof typeof DEMO_KEYS.workspaces;

/** Location and listen address of a process. */
export interface ProcessSpec {
  readonly instance: string;
  readonly zone: string;
  readonly region: string;
  readonly siteAddress: string;
}

/** Location of an entry, with the address for callers. */
export interface EntrySpec extends ProcessSpec {
  readonly callerAddress: string;
}

/** Location of an agent, with its target. */
export interface AgentSpec extends ProcessSpec {
  readonly target: {
    readonly name: string;
    readonly kind: 'modelEngine' | 'plainService';
    readonly service?: string;
    readonly url: string;
    readonly fencing: 'checked' | 'ignored';
  };
}

/** Writes settings files; each call returns the path of the file. */
export interface SettingsWriter {
  readonly entry: (spec: EntrySpec) => string;
  readonly agent: (spec: AgentSpec) => string;
  readonly operatorKeyFile: string;
}

/** Optional settings of a site; durations and sizes are written with units. */
export interface SiteSettings {
  readonly addressesKeptFor?: string;
  /** How long a process waits for a reply of the platform. */
  readonly platformTimeout?: string;
  /** Limits of the entries; the defaults apply if omitted. */
  readonly limits?: {
    readonly requestBody?: string;
    readonly waiting?: number;
  };
}

/** Creates `folder` and writes the key files to it. */
export function createSettingsWriter(
  folder: string,
  platformUrl: string,
  chosen: SiteSettings & {readonly olderSystemUrl?: string | undefined},
): SettingsWriter {
  mkdirSync(folder, {recursive: true});
  const siteKeyFile = join(folder, 'site.key');
  const operatorKeyFile = join(folder, 'operator.key');
  writeFileSync(siteKeyFile, DEMO_KEYS.site, {mode: 0o600});
  writeFileSync(operatorKeyFile, DEMO_KEYS.operator, {mode: 0o600});

  const common = (spec: ProcessSpec) => ({
    instance: spec.instance,
    zone: spec.zone,
    region: spec.region,
    platform: {url: platformUrl, timeout: chosen.platformTimeout ?? '2s'},
    log: {level: 'info', format: 'json'},
  });
  const write = (name: string, settings: unknown): string => {
    const file = join(folder, `${name}.yaml`);
    writeFileSync(file, stringify(settings));
    return file;
  };

  return {
    operatorKeyFile,
    entry: spec =>
      write(spec.instance, {
        role: 'entry',
        ...common(spec),
        listen: {site: spec.siteAddress, callers: spec.callerAddress},
        keys: {
          siteKeyFile,
          operators: [{name: 'operator', sha256: sha256(DEMO_KEYS.operator)}],
          workspaces: Object.entries(DEMO_KEYS.workspaces).map(
            ([name, key]) => ({name, sha256: sha256(key)}),
          ),
        },
        ...(chosen.olderSystemUrl === undefined
          ? {}
          : {olderSystem: {url: chosen.olderSystemUrl}}),
        addressesKeptFor: chosen.addressesKeptFor ?? '5s',
        ...(chosen.limits === undefined ? {} : {limits: chosen.limits}),
      }),
    agent: spec =>
      write(spec.instance, {
        role: 'agent',
        ...common(spec),
        listen: {site: spec.siteAddress},
        keys: {siteKeyFile},
        target: spec.target,
      }),
  };
}

function sha256(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}
