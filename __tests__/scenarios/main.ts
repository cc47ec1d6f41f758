// Runs scenario files: node build/__tests__/scenarios/main.js [--seed N] FILE …
import { parseArgs } from 'node:util'
import { formatReport } from './formatReport.js'
import { runScenario } from './runScenario.js'

const { values, positionals } = parseArgs({ options: { seed: { type: 'string' } }, allowPositionals: true })
let hasFailed = false
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))
for (const file of positionals) {
  const report = await runScenario(file, values.seed === undefined ? undefined : Number(values.seed))
  console.log(formatReport(report))
  hasFailed ||= report.failures.length > 0
}
process.exit(hasFailed ? 1 : 0)
