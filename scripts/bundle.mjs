// Bundles each role of the platform form into one file: loading hundreds of modules costs a small machine half a second.
import { build } from 'esbuild'

await build({
  entryPoints: { entry: 'platform/entry.ts', control: 'platform/control.ts', check: 'platform/check.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: false,
  logLevel: 'warning',
  // Some libraries are CommonJS and ask for Node's own modules by require.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
