// Exits with 1 if the installed modules are for another kind of processor: esbuild comes with a
// program for each one, and is the only module that is not plain JavaScript.
import process from 'node:process';

try {
  const { transformSync } = await import('esbuild');
  transformSync('0');
} catch {
  process.exitCode = 1;
}
