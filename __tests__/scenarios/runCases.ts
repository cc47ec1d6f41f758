import assert from 'node:assert/strict'
import { test } from 'node:test'
import { formatReport } from './formatReport.js'
import { runScenario } from './runScenario.js'

/**
 * Defines one test for each scenario; the tests run one after the other.
 *
 * @param names - names of files in `cases`, without their extension
 */
export function runCases (names: string[]): void {
  for (const name of names) {
    test(`scenario ${name}`, async () => {
      const report = await runScenario(`__tests__/scenarios/cases/${name}.scenario`)
      assert.deepEqual(report.failures, [], formatReport(report))
    })
  }
}
