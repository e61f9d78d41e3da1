// Runs each proof against the code with one guard removed and expects it to
// fail: a property that passes without its guard proves nothing.
// Guards: test/guards/*.json, entries {name, file, find, replace, test, expect}
// where `test` is a test file and `expect` a part of a failing test's name.
import {spawnSync} from 'node:child_process';
import {readFileSync, readdirSync} from 'node:fs';

const only = process.argv[2];
const guards = readdirSync('test/guards')
  .filter(file => file.endsWith('.json'))
  .flatMap(file => JSON.parse(readFileSync(`test/guards/${file}`, 'utf8')))
  .filter(guard => only === undefined || guard.name.includes(only));

let passed = 0;
let failed = 0;
for (const guard of guards) {
  const run = spawnSync(
    'node_modules/.bin/vitest',
    ['run', guard.test, '--reporter=json', '--testNamePattern', guard.expect],
    {
      env: {...process.env, GUARD_REMOVED: guard.name},
      encoding: 'utf8',
      maxBuffer: 1 << 28,
    },
  );
  const start = run.stdout.indexOf('{"numTotalTestSuites"');
  const report = start < 0 ? undefined : JSON.parse(run.stdout.slice(start));
  const caught = report !== undefined && report.numFailedTests > 0;
  if (caught) passed += 1;
  else failed += 1;
  console.log(
    `${caught ? 'caught' : 'NOT CAUGHT'}  ${guard.name}  (${guard.test}: ${guard.expect})`,
  );
}
console.log(`guards: ${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
