// Bundles the programs and the stand-ins for the demo, the benchmarks and the
// tests on real processes.
import {bundle} from './bundle.mjs';

await Promise.all([
  bundle('packages/hibiscusbeam/src/main.ts', 'dist/hibiscusbeam.cjs'),
  bundle('packages/standins/src/main.ts', 'dist/standins.cjs'),
  bundle('bench/throughput/bare_entry.ts', 'dist/bare_entry.cjs'),
  bundle('platform/entry_main.ts', 'dist/fleet_entry.cjs'),
  bundle('platform/agent_main.ts', 'dist/fleet_agent.cjs'),
]);
