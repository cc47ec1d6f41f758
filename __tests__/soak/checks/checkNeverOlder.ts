import type { Breach, GuestObservation } from '../SoakRecord.js'
import type { PlanHistory } from './PlanHistory.js'

/** Time that a request may lie on its way beside an earlier one. */
const ROLLBACK_SLACK_MILLISECONDS = 250

/** @returns a breach for each request that shows an older version than an earlier request in the same process run of an entry host */
export function checkNeverOlder (history: PlanHistory): Breach[] {
  const runs = new Map<string, GuestObservation[]>()
  for (const observation of history.record.observations.filter(({ handling }) => handling !== undefined)) {
    const key = `entry-${observation.entryHost} run ${observation.run}`
    runs.set(key, [...runs.get(key) ?? [], observation])
  }
  return [...runs].flatMap(([name, observations]) => checkRun(history, name, observations))
}

function checkRun (history: PlanHistory, name: string, observations: GuestObservation[]): Breach[] {
  const shown = observations.map((observation) => ({ ...observation, possible: history.listPossibleVersions(observation) })).filter(({ possible }) => possible.length > 0)
  const byAnswer = shown.sort((left, right) => left.answeredAt - right.answeredAt).map(({ answeredAt, possible }) => ({ answeredAt, version: Math.min(...possible) }))
  return shown.flatMap(({ sentAt, path, handling, possible }) => {
    const proven = Math.max(0, ...byAnswer.filter(({ answeredAt }) => answeredAt + ROLLBACK_SLACK_MILLISECONDS < sentAt).map(({ version }) => version))
    if (Math.max(...possible) >= proven) return []
    return [{ check: 'never-older', at: sentAt, detail: `${name} handled ${path} as ${handling}: a version of ${Math.max(...possible)} or before, after ${proven} or later was seen` }]
  })
}
