import type { AnswerHead } from './exchange.js'

const STATUS_UNAVAILABLE = 503

/** Header with which an upstream marks the answer to a request that it shed without running it. */
export const SHED_HEADER = 'hibiscusrelay-shed'
const SHED_VALUE = 'not-run'

/** @returns whether the head of an answer states that the upstream shed the request without running it */
export function isShed ({ status, headers }: AnswerHead): boolean {
  if (status !== STATUS_UNAVAILABLE) return false
  return headers.some(({ name, value }) => name === SHED_HEADER && value === SHED_VALUE)
}
