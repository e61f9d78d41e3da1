/** A complete and valid settings file of an entry. */
export const ENTRY_FILE = `role: entry
instance: bilbao-7
zone: bilbao-hall
region: norte
listen:
  site: 10.0.1.7:7400
  callers: 10.0.1.7:8400
platform:
  url: http://10.0.0.5:8080/
keys:
  siteKeyFile: site.key
  operators:
    - name: ainhoa
      sha256: ${'a'.repeat(64)}
  workspaces:
    - name: oviedo-counter
      sha256: ${'b'.repeat(64)}
metrics:
  address: '[fd00::9]:8125'
`;

/** A complete and valid settings file of an agent. */
export const AGENT_FILE = `role: agent
instance: bilbao-8
zone: bilbao-hall
region: norte
listen:
  site: 10.0.1.8:7400
platform:
  url: http://10.0.0.5:8080
keys:
  siteKeyFile: site.key
target:
  name: invoicing-1
  kind: plainService
  service: invoicing
  url: http://10.0.1.8:9000
`;
