import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { composePlan } from '../../examples/platform/composePlan.js'

function runCheck (context: TestContext, kind: string, text: string): { status: number | null, output: string } {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-check-'))
  context.after(() => { rmSync(folder, { recursive: true }) })
  const file = join(folder, 'checked')
  writeFileSync(file, text)
  const { status, stdout, stderr } = spawnSync(process.execPath, ['target/check.mjs', kind, file], { encoding: 'utf8' })
  return { status, output: stdout + stderr }
}

test('a valid plan passes the check', (context) => {
  const { status, output } = runCheck(context, 'plan', composePlan('0000000c', '00000005'))
  assert.equal(status, 0)
  assert.match(output, /ok, version 12, 1 routes, 1 services/)
})

test('a plan with faults is refused, and all faults are reported', (context) => {
  const { status, output } = runCheck(context, 'plan', composePlan('0000000c', '00000005', 'x').replace('"inventario",2', '"nowhere",0'))
  assert.equal(status, 2)
  for (const problem of ['bad-prefix', 'unknown-service', 'no-attempts']) assert.match(output, new RegExp(problem))
})

test('settings with faults are refused, and all faults are reported', (context) => {
  const { status, output } = runCheck(context, 'settings', '[host]\nname = a\n[listen]\npeer-address = nowhere\n[control]\nseed-addresses = 127.0.0.1:1\npeer-port = x\n')
  assert.equal(status, 2)
  for (const key of ['failure-domain', 'region', 'peer-address', 'peer-port']) assert.match(output, new RegExp(key))
})
