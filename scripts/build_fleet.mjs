// Builds the program of the fleet, target/hibiscusbeam.mjs and its parts.
import {rmSync} from 'node:fs';
import {bundleInParts} from './bundle.mjs';

rmSync('target', {recursive: true, force: true});
await bundleInParts('platform/main.ts', 'target', 'hibiscusbeam');
