import { SOUND_PREFIX, SOUND_SERVICE, SHORTEST_TIMEOUT_MILLISECONDS } from '../raw/rawRoutes.js'
import type { Breach, GuestObservation, SoakRecord } from '../SoakRecord.js'
import { ANNOUNCE_MILLISECONDS, CONTACT_MILLISECONDS, findAcknowledgement, type PlanHistory } from './PlanHistory.js'

/** Share of requests that must be answered 200. */
const FEWEST_SERVED_SHARE = 0.95
/** Time beyond the route's timeout for an answer to reach its guest, in milliseconds. */
const SLACK_MILLISECONDS = 500

/** @returns the requests at sound upstreams while others wrote without end, at entry hosts that were not disturbed */
export function listSound (history: PlanHistory): GuestObservation[] {
  const { observations, orders, allBackAt } = history.record
  const from = (findAcknowledgement(orders[0]?.attempts ?? []) ?? Number.POSITIVE_INFINITY) + ANNOUNCE_MILLISECONDS
  return observations.filter(({ path, entryHost, sentAt, answeredAt }) => path.startsWith(SOUND_PREFIX) && sentAt > from && sentAt < allBackAt && !isExcused(history.record, entryHost, sentAt, answeredAt))
}

/** Whether a fault of the run, or the load of the machine, excuses a request; an end of the host by itself does not. */
function isExcused ({ disturbances }: SoakRecord, entryHost: number, sentAt: number, answeredAt: number): boolean {
  return disturbances.some(({ host, kind, from, to }) => {
    const after = kind === 'slow' || kind === 'starved' ? 0 : CONTACT_MILLISECONDS
    return [`entry-${entryHost}`, 'machine'].includes(host) && kind !== 'own-end' && from < answeredAt && to + after > sentAt
  })
}

/** @returns a breach for each entry host at which too few guests of sound upstreams were served, and for those beyond the timeout of their route */
export function checkSound (history: PlanHistory): Breach[] {
  const judged = listSound(history)
  return [...new Set(judged.map(({ entryHost }) => entryHost))].flatMap((entryHost) => {
    const requests = judged.filter((request) => request.entryHost === entryHost)
    const served = requests.filter(({ handling }) => handling === SOUND_SERVICE).length
    const late = requests.filter(({ sentAt, answeredAt }) => answeredAt - sentAt > SHORTEST_TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS)
    const count = `of ${requests.length} requests at sound upstreams at entry-${entryHost}`
    return [
      ...served < FEWEST_SERVED_SHARE * requests.length ? [{ check: 'sound', at: requests[0]!.sentAt, detail: `${served} ${count} were served` }] : [],
      ...late.length > 0 ? [{ check: 'sound', at: late[0]!.sentAt, detail: `${late.length} ${count} were answered after their time-out` }] : []
    ]
  })
}
