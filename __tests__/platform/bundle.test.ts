import assert from 'node:assert/strict'
import { spawn, spawnSync, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { setImmediate as yieldToEvents } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'

const BUNDLES = ['check.mjs', 'control.mjs', 'entry.mjs']
const RUNS = 3
const CHECKS_BETWEEN_EVENTS = 200

function createFolder (context: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-bundle-'))
  context.after(() => { rmSync(folder, { recursive: true }) })
  return folder
}

function bundleInto (folder: string): void {
  const { status, stderr } = spawnSync(process.execPath, ['scripts/bundle.mjs', folder], { encoding: 'utf8' })
  assert.equal(status, 0, stderr)
}

/** Calls a check again and again until a process has ended; fails if that ended with an error. */
async function repeatWhileRunning (child: ChildProcess, check: () => void): Promise<void> {
  const ended = once(child, 'exit')
  while (child.exitCode === null && child.signalCode === null) {
    check()
    await yieldToEvents()
  }
  await ended
  assert.equal(child.exitCode, 0)
}

// Guards against a process that starts while its bundle is written again, reads a part of it and ends.
test('a bundle is whole at any moment while the bundles are written again', { timeout: 120_000 }, async (context) => {
  const folder = createFolder(context)
  bundleInto(folder)
  assert.deepEqual(readdirSync(folder).sort(), BUNDLES)
  const contents = new Map(BUNDLES.map((name) => [name, readFileSync(join(folder, name))]))
  const inodes = BUNDLES.map((name) => statSync(join(folder, name)).ino)
  const sizes = new Set<string>()
  for (let run = 0; run < RUNS; run += 1) {
    await repeatWhileRunning(spawn(process.execPath, ['scripts/bundle.mjs', folder], { stdio: 'ignore' }), () => {
      for (let number = 0; number < CHECKS_BETWEEN_EVENTS; number += 1) {
        for (const name of BUNDLES) sizes.add(`${name} ${statSync(join(folder, name)).size}`)
      }
    })
  }
  assert.deepEqual([...sizes].sort(), BUNDLES.map((name) => `${name} ${contents.get(name)!.length}`))
  for (const name of BUNDLES) assert.ok(readFileSync(join(folder, name)).equals(contents.get(name)!), name)
  assert.notDeepEqual(BUNDLES.map((name) => statSync(join(folder, name)).ino), inodes, 'they were written again')
  assert.deepEqual(readdirSync(folder).sort(), BUNDLES)
})

test('a process starts while the bundles are written again', { timeout: 120_000 }, async (context) => {
  const folder = createFolder(context)
  bundleInto(folder)
  const plan = join(createFolder(context), 'plan')
  writeFileSync(plan, composePlan('0000000c', '00000005'))
  for (let run = 0; run < RUNS; run += 1) {
    await repeatWhileRunning(spawn(process.execPath, ['scripts/bundle.mjs', folder], { stdio: 'ignore' }), () => {
      const { status, stderr } = spawnSync(process.execPath, [join(folder, 'check.mjs'), 'plan', plan], { encoding: 'utf8' })
      assert.equal(status, 0, stderr)
    })
  }
})
