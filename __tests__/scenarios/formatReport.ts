import type { ScenarioReport } from './runScenario.js'

/**
 * @param report - result of a scenario
 * @returns the report as text for a terminal
 */
export function formatReport (report: ScenarioReport): string {
  const verdict = report.failures.length === 0 ? 'ok' : 'FAILED'
  return [
    `${verdict} ${report.file} (${report.seconds.toFixed(1)} s)`,
    ...report.notes.map((note) => `  ${note}`),
    ...report.failures.map((failure) => `  failed: ${failure}`),
    ...report.failures.length === 0 ? [] : [`  logs: ${report.folder}`]
  ].join('\n')
}
