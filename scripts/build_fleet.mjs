// Builds the fleet program: the launcher target/hibiscusbeam.cjs, one bundle
// for each role, the compiled code of the bundles, and the libraries with native
// code.
import {cpSync, rmSync} from 'node:fs';
import {bundle} from './bundle.mjs';

rmSync('target', {recursive: true, force: true});
await bundle('platform/entry_main.ts', 'target/entry.js');
await bundle('platform/agent_main.ts', 'target/agent.js');
cpSync('scripts/fleet_launcher.cjs', 'target/hibiscusbeam.cjs');
// Libraries with native code, which can't be bundled.
for (const library of ['koffi', '@koromix']) {
  cpSync(`node_modules/${library}`, `target/node_modules/${library}`, {
    recursive: true,
  });
}
await import('../deploy/warm_up.mjs');
