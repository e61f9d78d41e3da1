import {build} from 'esbuild';

const COMMON = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  sourcemap: true,
  // Halves the source that is read and kept in memory at each start. Names are
  // kept so that stack traces in logs stay readable.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  // An optional native transport of hot-shots, which UDP does not need, and a
  // library with native code, which is loaded from node_modules.
  external: ['unix-dgram', 'koffi'],
  mainFields: ['module', 'main'],
  logLevel: 'warning',
};

/** Bundles `entryPoint` and its libraries into a CommonJS file for Node 20. */
export async function bundle(entryPoint, output) {
  await build({
    ...COMMON,
    entryPoints: [entryPoint],
    outfile: output,
    format: 'cjs',
  });
}
