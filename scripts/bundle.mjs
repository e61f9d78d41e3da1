import {build} from 'esbuild';

const COMMON = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  sourcemap: true,
  // Half of the text to read and to hold at each start; names stay, so that
  // stack traces in logs can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  // An optional native transport of hot-shots; UDP needs no such module.
  external: ['unix-dgram'],
  mainFields: ['module', 'main'],
  logLevel: 'warning',
};

/** Bundles `entryPoint` with its libraries into one CommonJS file for Node 20. */
export async function bundle(entryPoint, output) {
  await build({
    ...COMMON,
    entryPoints: [entryPoint],
    outfile: output,
    format: 'cjs',
  });
}
