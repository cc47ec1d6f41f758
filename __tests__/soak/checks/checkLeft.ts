import type { Arrival, Breach } from '../SoakRecord.js'
import { findAcknowledgement, OUTER_MILLISECONDS, type PlanHistory } from './PlanHistory.js'

const DRAIN_MILLISECONDS = 2_500
const EVACUATION_MILLISECONDS = 5_000

/** @returns a breach for each request that an entry host in touch sent to an upstream too long after its departure, or the evacuation of its failure domain, was acknowledged */
export function checkLeft (history: PlanHistory): Breach[] {
  const { arrivals, departures, evacuations } = history.record
  const atLeaving = departures.flatMap(({ upstream, acknowledgedAt }) => arrivals.filter((arrival) => arrival.upstream === upstream && arrival.arrivedAt > acknowledgedAt + DRAIN_MILLISECONDS))
  const atEvacuated = evacuations.filter(({ isEvacuated }) => isEvacuated).flatMap(({ domain, attempts }) => {
    const acknowledgedAt = findAcknowledgement(attempts)
    if (acknowledgedAt === undefined) return []
    const finish = evacuations.find((other) => other.domain === domain && !other.isEvacuated && (other.attempts[0]?.sentAt ?? 0) > acknowledgedAt)
    const until = finish?.attempts[0]?.sentAt ?? Number.POSITIVE_INFINITY
    return arrivals.filter((arrival) => arrival.domain === domain && arrival.arrivedAt < until && arrival.arrivedAt > acknowledgedAt + EVACUATION_MILLISECONDS + (history.isCoreDisturbed(acknowledgedAt, arrival.arrivedAt) ? OUTER_MILLISECONDS : 0))
  })
  const describe = (check: string) => ({ entryHost, upstream, domain, arrivedAt }: Arrival): Breach => ({ check, at: arrivedAt, detail: `entry-${entryHost} sent a request to ${upstream} in ${domain}` })
  const isInTouch = ({ entryHost, arrivedAt }: Arrival): boolean => history.isInTouch(entryHost, arrivedAt)
  return [...atLeaving.filter(isInTouch).map(describe('departure')), ...atEvacuated.filter(isInTouch).map(describe('evacuation'))]
}
