import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { SettingsError } from '../../src/errors/SettingsError.js'
import { loadPlanHostSettings } from '../../src/settings/loadPlanHostSettings.js'

const REQUIRED = '[host]\nname = a\nfailure-domain = b\nregion = c\n[listen]\npeer-address = 127.0.0.1:1\n[control]\nseed-addresses = 127.0.0.1:2\npeer-port = 3\n'

function load (context: TestContext, limits: string): ReturnType<typeof loadPlanHostSettings> {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'))
  context.after(() => { rmSync(folder, { recursive: true }) })
  writeFileSync(join(folder, 'settings.ini'), `${REQUIRED}[limits]\n${limits}\n`)
  return loadPlanHostSettings(join(folder, 'settings.ini'))
}

// Guards against a deployment that gets second attempts without asking for them.
test('there are no second attempts unless the settings ask for them', (context) => {
  assert.equal(load(context, '').secondAttemptRatio, 0)
  assert.equal(load(context, 'second-attempt-ratio =').secondAttemptRatio, 0)
  assert.match(readFileSync('deploy/settings.ini', 'utf8'), /^second-attempt-ratio = 0$/m)
})

test('the ratio of second attempts is a number from 0 to 1', (context) => {
  assert.equal(load(context, 'second-attempt-ratio = 0.05').secondAttemptRatio, 0.05)
  for (const value of ['5%', '-0.1', '1.5', 'off']) assert.throws(() => load(context, `second-attempt-ratio = ${value}`), SettingsError, value)
})
