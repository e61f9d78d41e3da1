import {build} from 'esbuild';

/** Bundles `entryPoint` with its libraries into one CommonJS file for Node 20. */
export async function bundle(entryPoint, output) {
  await build({
    entryPoints: [entryPoint],
    outfile: output,
    bundle: true,
    platform: 'node',
    format: 'cjs',
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
  });
}
