// Bundles the gateway and control programs of platform/ into target/. Each has a small first file, so
// that it handles signals before it loads the rest.
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

// Names of the parts change with their content.
rmSync('target/parts', { recursive: true, force: true });

await build({
  entryPoints: { gateway: 'platform/bin/gateway.ts', control: 'platform/bin/control.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  chunkNames: 'parts/[name]-[hash]',
  minify: true,
  keepNames: false,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // The package's main file is a UMD module whose require calls can't be bundled.
  alias: { 'jsonc-parser': 'jsonc-parser/lib/esm/main.js' },
  // Optional native add-ons are left out: plain JavaScript suffices for the message sizes in use.
  external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
