// Builds the fleet program: the launcher target/hibiscusbeam.cjs, one bundle
// for each role, and the compiled code of the bundles.
import {cpSync, rmSync} from 'node:fs';
import {bundle} from './bundle.mjs';

rmSync('target', {recursive: true, force: true});
await bundle('platform/entry_main.ts', 'target/entry.js');
await bundle('platform/agent_main.ts', 'target/agent.js');
cpSync('scripts/fleet_launcher.cjs', 'target/hibiscusbeam.cjs');
await import('../deploy/warm_up.mjs');
