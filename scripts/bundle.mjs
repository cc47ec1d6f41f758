// Bundles each role of the platform form into one file, because loading hundreds of modules takes half a second on a small machine.
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
  // Some libraries are CommonJS and load Node's built-in modules with require, which an ES module does not have.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
