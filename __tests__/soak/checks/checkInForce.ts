import type { Breach } from '../SoakRecord.js'
import type { PlanHistory } from './PlanHistory.js'

/** @returns a breach for each request that an undisturbed entry host handled by a plan older than an acknowledged one whose time to be in force had passed */
export function checkInForce (history: PlanHistory): Breach[] {
  return history.record.observations.filter(({ handling }) => handling !== undefined).flatMap((observation) => {
    const required = history.findRequiredVersion(observation.entryHost, observation.sentAt)
    const possible = history.listPossibleVersions(observation)
    if (possible.length === 0 || Math.max(...possible) >= required) return []
    const { entryHost, path, handling, sentAt } = observation
    return [{ check: 'in-force', at: sentAt, detail: `entry-${entryHost} handled ${path} as ${handling}: a version of ${Math.max(...possible)} or before, ${required} was due` }]
  })
}
