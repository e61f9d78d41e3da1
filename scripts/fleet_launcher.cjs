/**
 * Starts a role of the fleet: `hibiscusbeam.cjs ROLE`. Loads the role's program
 * with the code that was compiled at the build.
 *
 * An entry's start takes 0.5 s of processor time with it and 0.8 s without, by
 * /proc/PID/stat after 2 s. Code that another runtime, or other flags, have
 * compiled is refused by the runtime; the program is then compiled anew.
 */
'use strict';
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {join} = require('node:path');
const {Script, constants} = require('node:vm');

/** Exit code for a command line that names no role. */
const EXIT_USAGE = 2;

/** Asks for the compiled code to be written when the process ends. */
const WRITE_FLAG = '--write-compiled';

const [role, flag] = process.argv.slice(2);
const program = join(__dirname, `${role}.js`);
const compiled = join(__dirname, `${role}.compiled`);

if (role === undefined || !existsSync(program)) {
  console.error('usage: hibiscusbeam.cjs entry|agent');
  process.exit(EXIT_USAGE);
}

const script = new Script(Module.wrap(readFileSync(program, 'utf8')), {
  filename: program,
  cachedData: existsSync(compiled) ? readFileSync(compiled) : undefined,
  importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
});
if (script.cachedDataRejected === true) {
  console.error('compiled code is of another runtime; compiles anew');
}
if (flag === WRITE_FLAG) {
  process.on('exit', () => writeFileSync(compiled, script.createCachedData()));
}
script
  .runInThisContext()
  .call(module.exports, module.exports, require, module, program, __dirname);
