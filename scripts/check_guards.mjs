// Mutation check: removes one guard from the source at a time and expects its
// test to fail. A test that still passes does not cover the guard.
// Guards: test/guards/*.json, entries {name, file, find, replace, test, expect}
// where `test` is a test file and `expect` a part of the failing test's name.
// usage: node scripts/check_guards.mjs [part of a name]; runs GUARD_JOBS guards
// in parallel.
import {spawn} from 'node:child_process';
import {readFileSync, readdirSync} from 'node:fs';

const only = process.argv[2];
const jobs = Number(process.env.GUARD_JOBS ?? 2);
const guards = readdirSync('test/guards')
  .filter(file => file.endsWith('.json'))
  .flatMap(file => JSON.parse(readFileSync(`test/guards/${file}`, 'utf8')))
  .filter(guard => only === undefined || guard.name.includes(only));

function run(guard) {
  return new Promise(resolve => {
    const child = spawn(
      'node_modules/.bin/vitest',
      ['run', guard.test, '--reporter=json', '--testNamePattern', guard.expect],
      {
        env: {...process.env, GUARD_REMOVED: guard.name},
        stdio: ['ignore', 'pipe', 'ignore'],
      },
    );
    let output = '';
    child.stdout.on('data', piece => (output += piece));
    child.on('exit', () => resolve(output));
  });
}

async function isCaught(guard) {
  const output = await run(guard);
  const start = output.indexOf('{"numTotalTestSuites"');
  if (start < 0) return false;
  return JSON.parse(output.slice(start)).numFailedTests > 0;
}

let passed = 0;
let failed = 0;
const pending = [...guards];

async function runWorker() {
  for (;;) {
    const guard = pending.shift();
    if (guard === undefined) return;
    const caught = await isCaught(guard);
    if (caught) passed += 1;
    else failed += 1;
    console.log(
      `${caught ? 'caught' : 'NOT CAUGHT'}  ${guard.name}  (${guard.test}: ${guard.expect})`,
    );
  }
}

await Promise.all(Array.from({length: jobs}, runWorker));
console.log(`guards: ${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
