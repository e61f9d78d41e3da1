// A Vitest reporter for .ci/run. Errors outside tests fail a run but are
// missing from the JSON report, so a known failing test would hide them.
import {mkdirSync, writeFileSync} from 'node:fs';

const OUTPUT = 'dist/ci/unhandled_errors.json';

export default function createReporter() {
  return {onTestRunEnd: writeErrors};
}

function writeErrors(_modules, unhandledErrors) {
  const messages = unhandledErrors.map(error => error.message ?? String(error));
  mkdirSync('dist/ci', {recursive: true});
  writeFileSync(OUTPUT, JSON.stringify(messages));
}
