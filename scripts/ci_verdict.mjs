// Evaluates a run of .ci/run and prints the last line, `N passed, N failed`. A
// file that could not be loaded counts as one failed test.
// Usage: node scripts/ci_verdict.mjs REPORT KNOWN-RED [failed steps...]
import {existsSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';

const MAX_KNOWN_RED = 3;
const KNOWN_RED_FIELDS = 4;

/** Maximum number of characters that are printed of a failure's message. */
const MAX_MESSAGE = 500;

const [reportFile, knownRedFile, ...failedSteps] = process.argv.slice(2);
const problems = [];
const knownRed = readKnownRed();
const report = readReport();
const tests = report.testResults.flatMap(file => file.assertionResults);
// Files that could not be loaded have no tests in the report.
const unloadedFiles = report.testResults.filter(
  file =>
    file.status === 'failed' &&
    !file.assertionResults.some(test => test.status === 'failed'),
);
checkSteps();
checkTests();
checkUnloadedFiles();
checkUnhandledErrors();
for (const problem of problems) console.log(`FAILED: ${problem}`);
const count = status => tests.filter(test => test.status === status).length;
const failed = count('failed') + unloadedFiles.length;
console.log(`${count('passed')} passed, ${failed} failed`);
process.exitCode = problems.length === 0 ? 0 : 1;

function readKnownRed() {
  if (!existsSync(knownRedFile)) return [];
  const lines = readFileSync(knownRedFile, 'utf8')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith('#'));
  if (lines.length > MAX_KNOWN_RED) {
    problems.push(
      `${knownRedFile} lists ${lines.length} tests; at most ${MAX_KNOWN_RED} may be known to fail`,
    );
  }
  return lines.map(line => {
    const parts = line.split('|').map(part => part.trim());
    if (parts.length !== KNOWN_RED_FIELDS || parts.includes('')) {
      problems.push(
        `${knownRedFile}: not "test name | command and seed | what was seen | issue": ${line}`,
      );
    }
    return {name: parts[0], line: parts.join(' | ')};
  });
}

function readReport() {
  if (existsSync(reportFile)) {
    return JSON.parse(readFileSync(reportFile, 'utf8'));
  }
  problems.push(`no test report at ${reportFile}: the tests did not run`);
  return {testResults: []};
}

/** The test step may fail only because of tests, which are checked below. */
function checkSteps() {
  for (const step of failedSteps) {
    if (step !== 'test') problems.push(`step ${step}`);
  }
  const explained =
    tests.some(test => test.status === 'failed') ||
    report.testResults.some(file => file.status === 'failed');
  if (failedSteps.includes('test') && !explained) {
    problems.push('step test, though no test failed');
  }
}

function checkTests() {
  if (tests.length === 0) problems.push('no test ran');
  for (const test of tests) {
    const known = knownRed.find(({name}) => name === test.fullName);
    if (test.status === 'failed' && known === undefined) {
      problems.push(`test ${test.fullName}${describeFailure(test)}`);
    } else if (test.status === 'failed') {
      console.log(`KNOWN RED: ${known.line}`);
    } else if (test.status !== 'passed') {
      problems.push(`test ${test.fullName} is ${test.status}`);
    } else if (known !== undefined) {
      console.log(`NOTE: ${known.name} passes; take it out of ${knownRedFile}`);
    }
  }
  for (const {name} of knownRed) {
    if (!tests.some(test => test.fullName === name)) {
      problems.push(`${knownRedFile} names no test of the run: ${name}`);
    }
  }
}

/** Printed last, since the end of the output is what is kept of a run. */
function describeFailure({failureMessages: [message] = []}) {
  if (message === undefined) return '';
  return `: ${message.split('\n')[0].slice(0, MAX_MESSAGE)}`;
}

function checkUnloadedFiles() {
  for (const file of unloadedFiles) {
    problems.push(`file ${file.name}: ${file.message}`);
  }
}

function checkUnhandledErrors() {
  const file = join(dirname(reportFile), 'unhandled_errors.json');
  if (!existsSync(file)) return;
  for (const message of JSON.parse(readFileSync(file, 'utf8'))) {
    problems.push(`error outside any test: ${message}`);
  }
}
