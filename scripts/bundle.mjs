// Bundles the programs of the provider's machines into target/, one file for each.
import { build } from 'esbuild';

await build({
  entryPoints: { gateway: 'platform/bin/gateway.ts', control: 'platform/bin/control.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  minify: true,
  keepNames: false,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // The package's main file loads its parts in a way that can't be bundled.
  alias: { 'jsonc-parser': 'jsonc-parser/lib/esm/main.js' },
  // Optional native parts are left out: plain JavaScript serves the sizes at hand.
  external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
