// Builds the program as one file, dist/hibiscusbeam.cjs, and the publishable
// form of the core package, packages/core/dist: an ES module with declarations.
import {spawnSync} from 'node:child_process';
import {
  existsSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {dirname, join, resolve} from 'node:path';
import {pathToFileURL} from 'node:url';
import {build} from 'esbuild';
import {bundle} from './bundle.mjs';

const CORE = 'packages/core';
const CORE_OUTPUT = `${CORE}/dist`;
// CommonJS packages whose named exports Node cannot import from an ES module;
// they are bundled.
const BUNDLED = ['ts-results'];

await bundle('packages/hibiscusbeam/src/main.ts', 'dist/hibiscusbeam.cjs');
await buildCore();
console.log(`built dist/hibiscusbeam.cjs and ${CORE_OUTPUT}`);

async function buildCore() {
  rmSync(CORE_OUTPUT, {recursive: true, force: true});
  const manifest = JSON.parse(readFileSync(`${CORE}/package.json`, 'utf8'));
  const libraries = Object.keys(manifest.dependencies);
  await build({
    entryPoints: [`${CORE}/src/index.ts`],
    outfile: `${CORE_OUTPUT}/index.js`,
    bundle: true,
    platform: 'neutral',
    mainFields: ['module', 'main'],
    format: 'esm',
    target: 'node20',
    external: libraries.filter(name => !BUNDLED.includes(name)),
    logLevel: 'warning',
  });
  emitDeclarations();
  const published = {
    ...manifest,
    exports: {'.': {types: './types/index.d.ts', import: './index.js'}},
    types: './types/index.d.ts',
  };
  writeFileSync(
    `${CORE_OUTPUT}/package.json`,
    `${JSON.stringify(published, null, 2)}\n`,
  );
  // Fails the build if Node cannot import the built module.
  const core = await import(pathToFileURL(resolve(CORE_OUTPUT, 'index.js')));
  if (Object.keys(core).length === 0) throw new Error('core exports nothing');
}

function emitDeclarations() {
  const run = spawnSync(
    process.execPath,
    [
      'node_modules/typescript/bin/tsc',
      `${CORE}/src/index.ts`,
      ...['--declaration', '--emitDeclarationOnly', '--strict'],
      ...['--skipLibCheck', '--esModuleInterop'],
      ...['--target', 'ES2022', '--lib', 'ES2023'],
      ...['--module', 'ESNext', '--moduleResolution', 'Bundler'],
      ...['--rootDir', `${CORE}/src`, '--outDir', `${CORE_OUTPUT}/types`],
    ],
    {stdio: 'inherit'},
  );
  if (run.status !== 0) throw new Error('declarations could not be built');
  const files = readdirSync(`${CORE_OUTPUT}/types`, {recursive: true});
  for (const file of files.filter(name => name.endsWith('.d.ts'))) {
    addExtensions(join(CORE_OUTPUT, 'types', file));
  }
}

// Type resolution for Node needs file extensions in relative imports.
function addExtensions(file) {
  const text = readFileSync(file, 'utf8');
  const rewritten = text.replace(
    /(from |import\()'(\.{1,2}(?:\/[^']*)?)'/g,
    (_match, lead, path) => {
      const isFile = existsSync(join(dirname(file), `${path}.d.ts`));
      return `${lead}'${path}${isFile ? '.js' : '/index.js'}'`;
    },
  );
  writeFileSync(file, rewritten);
}
