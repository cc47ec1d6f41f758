import { AnswerEnd, type RawExchange, type RawRun } from '../raw/RawRecord.js'
import type { Breach } from '../SoakRecord.js'
import { groupRuns } from './groupRuns.js'
import type { PlanHistory } from './PlanHistory.js'

/** @returns a breach for each success that is not the whole answer of an upstream, each failure with a signature of another answer, and bytes that are no answer */
export function checkWhole (history: PlanHistory): Breach[] {
  const runs = groupRuns(history.record)
  return history.record.exchanges.flatMap((exchange) => {
    const ownRuns = runs.get(exchange.attempt) ?? []
    const fault = findFault(exchange, ownRuns)
    if (fault === undefined) return []
    const { attempt, entryHost, status, bodyBytes, endedAt } = exchange
    return [{ check: 'whole', at: endedAt, detail: `${attempt} at entry-${entryHost}: ${fault}, status ${status}, ${bodyBytes} bytes; upstreams ${ownRuns.map(({ script, isBrokenOff }) => `(${script}${isBrokenOff ? ' broken off' : ''})`).join(', ')}` }]
  })
}

function findFault ({ end, status = 0, signature, answeredAttempt, digest }: RawExchange, runs: readonly RawRun[]): string | undefined {
  if (end === AnswerEnd.Malformed) return runs.some(({ isBrokenOff }) => isBrokenOff) ? undefined : 'bytes that are no answer'
  if (end !== AnswerEnd.Whole) return undefined
  const isSuccess = status >= 200 && status < 300
  if (signature === undefined) return isSuccess ? 'a success without a signature' : undefined
  if (!runs.some((run) => run.signature === signature && run.status === status)) return 'an answer that no upstream gave to it'
  if (!isSuccess) return undefined
  if (answeredAttempt === undefined) return 'a success without an identifier'
  return digest === signature ? undefined : 'a success with another body than its upstream\'s'
}
