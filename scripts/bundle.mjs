// Bundles each role of the platform form into one file, because loading hundreds of modules takes half a second on a small machine.
// Argument: the folder for the bundles, `target` by default. A process that starts meanwhile reads each bundle whole, old or new:
// they are written to a temporary folder on the same file system and renamed from there.
import { mkdirSync, mkdtempSync, readdirSync, renameSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const targetFolder = process.argv[2] ?? 'target'
mkdirSync(targetFolder, { recursive: true })
const temporaryFolder = mkdtempSync(join(targetFolder, '.bundling-'))

try {
  await build({
    entryPoints: { entry: 'platform/entry.ts', control: 'platform/control.ts', check: 'platform/check.ts' },
    outdir: temporaryFolder,
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
  for (const name of readdirSync(temporaryFolder)) renameSync(join(temporaryFolder, name), join(targetFolder, name))
} finally {
  rmSync(temporaryFolder, { recursive: true })
}
