import type { ExchangeAnswer } from './exchange.js'

const STATUS_UNAVAILABLE = 503

/** Header with which an upstream marks the answer to a request that it shed without running it. */
export const SHED_HEADER = 'hibiscusrelay-shed'
const SHED_VALUE = 'not-run'

/** @returns whether the answer states that the upstream shed the request without running it */
export function isShed (answer: ExchangeAnswer): boolean {
  if (answer.status !== STATUS_UNAVAILABLE) return false
  return answer.headers.some(({ name, value }) => name === SHED_HEADER && value === SHED_VALUE)
}
