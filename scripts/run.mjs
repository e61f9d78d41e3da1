// Bundles a TypeScript program and runs it. Programs need no loader, and each
// run uses the code as it is shipped.
import {spawn} from 'node:child_process';
import {bundle} from './bundle.mjs';

const [entryPoint, ...programArguments] = process.argv.slice(2);
if (entryPoint === undefined) {
  console.error('usage: node scripts/run.mjs FILE.ts [arguments]');
  process.exit(2);
}
const output = `dist/run/${entryPoint.replace(/\.ts$/, '').replaceAll('/', '_')}.cjs`;
await bundle(entryPoint, output);
const child = spawn(
  process.execPath,
  ['--enable-source-maps', output, ...programArguments],
  {stdio: 'inherit'},
);
for (const signal of ['SIGINT', 'SIGTERM']) {
  process.on(signal, () => child.kill(signal));
}
child.on('exit', (code, signal) => process.exit(signal === null ? code : 1));
