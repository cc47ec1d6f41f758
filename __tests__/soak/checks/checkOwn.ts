import type { Breach } from '../SoakRecord.js'
import type { PlanHistory } from './PlanHistory.js'

/** @returns a breach for each answer of another request, and for bytes that came while no request waited */
export function checkOwn ({ record: { exchanges, strayBytes } }: PlanHistory): Breach[] {
  const foreign = exchanges.flatMap(({ attempt, entryHost, endedAt, answeredAttempt, beginning }) => {
    const named = [answeredAttempt, /^(r-\d+) /.exec(beginning)?.[1]].filter((name) => name !== undefined && name !== attempt)
    return named.length === 0 ? [] : [{ check: 'own', at: endedAt, detail: `${attempt} at entry-${entryHost} was answered with the answer of ${named[0]}` }]
  })
  const stray = strayBytes.map(({ entryHost, at, attempt, text }) => ({ check: 'own', at, detail: `entry-${entryHost} wrote bytes after the answer of ${attempt ?? 'no request'}: ${JSON.stringify(text)}` }))
  return [...foreign, ...stray]
}
