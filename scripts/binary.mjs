// Builds dist/hibiscusbeam, a single executable: Node with the bundled program
// inside. Prints its size and its measured start time.
import {execFileSync, spawnSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {inject} from 'postject';
import {bundle} from './bundle.mjs';

const BUNDLE = 'dist/hibiscusbeam.cjs';
const BLOB = 'dist/binary/program.blob';
const CONFIGURATION = 'dist/binary/program.json';
const BINARY = 'dist/hibiscusbeam';
// Defined by Node: marks where the executable records an embedded program.
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const MEASURED_STARTS = 11;

await bundle('packages/hibiscusbeam/src/main.ts', BUNDLE);
mkdirSync('dist/binary', {recursive: true});
writeFileSync(
  CONFIGURATION,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIGURATION], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), {
  sentinelFuse: FUSE,
});
report();

function report() {
  const times = Array.from({length: MEASURED_STARTS}, measureStart);
  times.sort((left, right) => left - right);
  const megabytes = statSync(BINARY).size / 1e6;
  const median = times[Math.floor(times.length / 2)];
  console.log(`${BINARY}: ${megabytes.toFixed(1)} MB`);
  console.log(
    `start time (--version, ${times.length} runs): median ${median.toFixed(0)} ms, ` +
      `min ${times[0].toFixed(0)} ms, max ${times.at(-1).toFixed(0)} ms`,
  );
}

function measureStart() {
  const before = performance.now();
  const run = spawnSync(BINARY, ['--version'], {encoding: 'utf8'});
  if (run.status !== 0) throw new Error(`${BINARY} failed: ${run.stderr}`);
  return performance.now() - before;
}
