import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { composePlan } from '../../examples/platform/composePlan.js'
import { decodePlan } from '../../platform/wire/decodePlan.js'
import { inspectPlan } from '../../src/plan/inspection/inspectPlan.js'

function runCheck (context: TestContext, kind: string, text: string, ...options: string[]): { status: number | null, output: string } {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-check-'))
  context.after(() => { rmSync(folder, { recursive: true }) })
  const file = join(folder, 'checked')
  writeFileSync(file, text)
  const { status, stdout, stderr } = spawnSync(process.execPath, ['target/check.mjs', kind, file, ...options], { encoding: 'utf8' })
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

// Guards against a configuration whose limits contradict each other and that is sent because the check found no error.
test('findings that no host rejects end the check with a status of their own, also as JSON', (context) => {
  const text = composePlan('0000000c', '00000005').replace(/"max_body_bytes":\d+/, '"max_body_bytes":99999999')
  const { status, output } = runCheck(context, 'plan', text)
  assert.equal(status, 1)
  assert.match(output, /contradiction: limits/)
  const asJson = runCheck(context, 'plan', text, '--json')
  assert.equal(asJson.status, 1)
  assert.deepEqual((JSON.parse(asJson.output) as Array<{ kind: string }>).map(({ kind }) => kind), ['contradiction'])
})

// Guards against a check that ends with a stack on input that is no configuration.
test('a configuration that is cut anywhere, or whose values are of another type, ends the check with findings or as unreadable', () => {
  const text = composePlan('0000000c', '00000005')
  for (let cut = 0; cut < text.length; cut += 7) assert.equal(typeof decodePlan(text.slice(0, cut)), 'string')
  const values = text.match(/(?<=[:,[])(?:"[^"]*"|[\d.]+|true|false|null)(?=[,\]}])/g) ?? []
  assert.ok(values.length > 20)
  for (const value of values) {
    for (const replacement of ['null', '-1', '"x"', '[]', '{}', 'true', '1e999']) {
      const submission = decodePlan(text.replace(value, replacement))
      if (typeof submission !== 'string') inspectPlan({ plan: submission.plan, inForce: submission.plan, capacity: { headBytes: 65_536, bodyBytes: 1 } })
    }
  }
})
