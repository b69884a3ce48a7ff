// Vitest reporter: writes the failed tests and the errors outside of tests to the file that the variable
// FAILURES_FILE names, dist/failures.json by default.
import { mkdirSync, writeFileSync } from 'node:fs';

export default class FailureReport {
  onTestRunEnd(modules, errors) {
    const failures = [];
    let passed = 0;
    modules.forEach((module) => {
      const file = module.relativeModuleId ?? module.moduleId;
      module.errors().forEach(({ message }) => failures.push({ file, outside: true, text: message }));
      [...module.children.allSuites()].forEach((suite) =>
        suite.errors().forEach(({ message }) => failures.push({ file, outside: true, text: message })),
      );
      [...module.children.allTests()].forEach((test) => {
        const { state } = test.result();
        if (state === 'passed') passed += 1;
        if (state === 'failed') failures.push({ file, outside: false, text: test.fullName });
      });
    });
    errors.forEach((error) => {
      failures.push({ file: error.VITEST_TEST_PATH ?? '', outside: true, text: error.message });
    });
    mkdirSync('dist', { recursive: true });
    const file = process.env.FAILURES_FILE ?? 'dist/failures.json';
    writeFileSync(file, JSON.stringify({ passed, failures }, null, 2));
  }
}
