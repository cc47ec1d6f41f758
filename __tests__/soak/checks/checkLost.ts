import type { Breach } from '../SoakRecord.js'
import { groupRuns } from './groupRuns.js'
import { judgeLoss, Loss } from './judgeLoss.js'
import type { PlanHistory } from './PlanHistory.js'

/** Requests on kept connections that may be lost in calm times. */
const TOLERATED_CALM_LOSSES = 3

/** @returns a breach for each request beside planned work that ended without a complete answer, and for those of kept connections at any time when they are too many */
export function checkLost (history: PlanHistory): Breach[] {
  const runs = groupRuns(history.record)
  const losses = history.record.exchanges.map((exchange) => ({ exchange, loss: judgeLoss(history, exchange, runs.get(exchange.attempt) ?? []) }))
  const calm = losses.filter(({ loss }) => loss === Loss.Calm)
  const planned = losses.filter(({ loss }) => loss === Loss.Planned)
  return [...planned, ...calm.length > TOLERATED_CALM_LOSSES ? calm : []].map(({ loss, exchange: { attempt, entryHost, end, error, status, sentAt, endedAt, bodyBytes } }) => {
    const passedOn = (runs.get(attempt) ?? []).map(({ upstream, script }) => `${upstream} (${script})`).join(', ')
    return { check: 'lost', at: endedAt, detail: `${attempt} at entry-${entryHost}, ${loss}: ${end}${error === undefined ? '' : ` by ${error}`} after ${Math.round(endedAt - sentAt)} ms, status ${status}, ${bodyBytes} bytes; passed on to ${passedOn || 'nobody'}` }
  })
}
