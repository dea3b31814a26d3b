// Judges a test run by its JSON report: fails unless every failed test is
// listed in KNOWN-RED.txt, and prints those that are.
import {existsSync, readFileSync} from 'node:fs';
import {relative} from 'node:path';

const [reportFile, exitStatus] = process.argv.slice(2);
const ENTRY = /^(\S+) "(.+)"$/;

const listed = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .map(line => ENTRY.exec(line))
      .filter(match => match)
      .map(([, file, title]) => `${file} "${title}"`)
  : [];
const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const failed = report.testResults.flatMap(({name, assertionResults}) =>
  assertionResults
    .filter(({status}) => status === 'failed')
    .map(({title}) => `${relative('.', name)} "${title}"`),
);
const unknown = failed.filter(test => !listed.includes(test));
for (const test of failed) {
  console.log(`${listed.includes(test) ? 'known red' : 'FAILED'}: ${test}`);
}
// A file that cannot be loaded, or an error outside a test, fails the run
// without a failed test.
const hasBrokenFile = report.testResults.some(
  ({status, assertionResults}) =>
    status === 'failed' &&
    !assertionResults.some(result => result.status === 'failed'),
);
const isUnexplained = exitStatus !== '0' && failed.length === 0;
if (hasBrokenFile || isUnexplained) console.log('FAILED outside of a test');
console.log(`${report.numPassedTests} passed, ${unknown.length} failed`);
process.exitCode = unknown.length > 0 || hasBrokenFile || isUnexplained ? 1 : 0;
