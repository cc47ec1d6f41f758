import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { loadPlanHostSettings } from '../../src/settings/loadPlanHostSettings.js'
import type { PlanHostSettings } from '../../src/settings/PlanHostSettings.js'

const VALUES: Record<string, string> = {
  node_name: 'a',
  zone: 'oviedo',
  region: 'asturias',
  ip: '127.0.0.1',
  'internal_port_range.0': '7660',
  seeds: '127.0.0.1:7000',
  bootstrap: 'true',
  heartbeat_s: '1.5',
  'bounds.grace_s': '6',
  'bounds.retry_budget_ratio': '0.2',
  'bounds.retry_allowance': '10',
  'bounds.budget_window_s': '10'
}

/** Fills the template of the deployment in, as the platform does: a value that the deployment lacks is empty. */
function load (context: TestContext, values: Record<string, string> = {}): PlanHostSettings {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'))
  context.after(() => { rmSync(folder, { recursive: true }) })
  const text = readFileSync('deploy/settings.ini', 'utf8')
    .replace(/\{\{#zones\}\}[^]*\{\{\/zones\}\}/, 'oviedo = asturias')
    .replace(/\{\{([^}]+)\}\}/g, (_match, name: string) => ({ ...VALUES, ...values })[name] ?? '')
  const file = join(folder, 'settings.ini')
  writeFileSync(file, text)
  return loadPlanHostSettings(file)
}

// Guards against hosts of earlier deployments that don't start, as these have no values for quotas.
test('a deployment without bounds of quotas gets the defaults', (context) => {
  assert.deepEqual(load(context).quotaBounds, { windowMilliseconds: 5_000, overage: 0.1, allowance: 20 })
})

test('the bounds of quotas are read from the settings', (context) => {
  const values = { 'bounds.quota_window_s': '2.5', 'bounds.quota_overage': '0', 'bounds.quota_allowance': '7' }
  assert.deepEqual(load(context, values).quotaBounds, { windowMilliseconds: 2_500, overage: 0, allowance: 7 })
})
