// Run after a failed test run: exits with 0 if KNOWN-RED.txt lists every failure, and prints them.
// The argument is the file of FailureReport.mjs for that run, dist/failures.json by default.
// An entry lists a test as: npx vitest run [--config CONFIG] FILE -t "PART OF ITS NAME"
// and an error outside of tests as: error outside of tests in FILE: "PART OF ITS MESSAGE"
import { readFileSync } from 'node:fs';

const entries = readFileSync('KNOWN-RED.txt', 'utf8');
const tests = [...entries.matchAll(/npx vitest run (?:--config \S+ )?(\S+) -t "([^"]+)"/g)];
const errors = [...entries.matchAll(/error outside of tests in (\S+): "([^"]+)"/g)];

const report = process.argv[2] ?? 'dist/failures.json';
const { passed, failures } = JSON.parse(readFileSync(report, 'utf8'));
const isKnown = ({ file, outside, text }) =>
  (outside ? errors : tests).some(([, path, part]) => file.endsWith(path) && text.includes(part));
const unknown = failures.filter((failure) => !isKnown(failure));

failures.forEach((failure) => {
  const label = isKnown(failure) ? 'known red' : 'FAILED';
  console.log(`${label}: ${failure.file}: ${failure.text}`);
});
const accepted = passed > 0 && failures.length > 0 && unknown.length === 0;
process.exitCode = accepted ? 0 : 1;
