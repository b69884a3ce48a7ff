// Bundles the gateway and control programs of platform/ into target/, one file each.
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
  // The package's main file is a UMD module whose require calls can't be bundled.
  alias: { 'jsonc-parser': 'jsonc-parser/lib/esm/main.js' },
  // Optional native add-ons are left out: plain JavaScript suffices for the message sizes in use.
  external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
