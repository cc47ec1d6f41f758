import { AnswerEnd, type RawExchange, type RawRun } from '../raw/RawRecord.js'
import { SHORTEST_TIMEOUT_MILLISECONDS } from '../raw/rawRoutes.js'
import { APPLY_MILLISECONDS, CONTACT_MILLISECONDS, type PlanHistory } from './PlanHistory.js'

const GRACE_MILLISECONDS = 6_000
const SLACK_MILLISECONDS = 1_000
/** Time after its last byte from which a request counts as read. */
const READ_MILLISECONDS = 500
const UNPLANNED_KINDS = ['SIGKILL', 'SIGSTOP', 'start', 'slow', 'starved']

/** What a request without a complete answer of an upstream counts as. */
export enum Loss {
  /** It ended otherwise. */
  None = 'none',
  /** Lost beside planned work. */
  Planned = 'lost beside planned work',
  /** Lost on a kept connection in calm times. */
  Calm = 'lost on a kept connection',
  BrokenOff = 'upstream broke off',
  Disturbed = 'unplanned disturbance',
  TimedOut = 'time-out',
  Crossed = 'crossed the close, not passed on',
  NoPlannedWork = 'no planned work near'
}

/** @returns whether a request ended without an answer, and whether a rule forbids that */
export function judgeLoss (history: PlanHistory, exchange: RawExchange, runs: readonly RawRun[]): Loss {
  const { sentAt, endedAt, entryHost } = exchange
  const stop = history.record.disturbances.find(({ host, kind, from }) => host === `entry-${entryHost}` && kind === 'SIGTERM' && from <= endedAt && endedAt <= from + GRACE_MILLISECONDS + SLACK_MILLISECONDS)
  const isReplaced = stop !== undefined && isOwnFailure(exchange) && runs.some(({ isAbandoned, isBehindCopy, endedAt: leftAt }) => isAbandoned && !isBehindCopy && leftAt <= endedAt + SLACK_MILLISECONDS)
  if (exchange.end !== AnswerEnd.Cut && exchange.end !== AnswerEnd.None && !isReplaced) return Loss.None
  if (runs.some(({ isBrokenOff }) => isBrokenOff)) return Loss.BrokenOff
  if (isDisturbed(history, entryHost, sentAt, endedAt)) return Loss.Disturbed
  if (endedAt - sentAt >= SHORTEST_TIMEOUT_MILLISECONDS) return Loss.TimedOut
  if (runs.length === 0 && endedAt < sentAt + READ_MILLISECONDS) return Loss.Crossed
  const isReloaded = history.record.reloads.some(({ host, at }) => host === `entry-${entryHost}` && at <= endedAt && sentAt <= at + APPLY_MILLISECONDS)
  if (stop !== undefined || isReloaded) return Loss.Planned
  return exchange.isKept && runs.length > 0 && history.isInTouch(entryHost, endedAt) ? Loss.Calm : Loss.NoPlannedWork
}

/** Whether a failure is the host's and not the upstream's. */
function isOwnFailure ({ end, status = 0, signature }: RawExchange): boolean {
  return end === AnswerEnd.Whole && status >= 500 && signature === undefined
}

function isDisturbed ({ record }: PlanHistory, entryHost: number, sentAt: number, endedAt: number): boolean {
  return record.disturbances.some(({ host, kind, from, to }) => {
    const isNear = host === `entry-${entryHost}` || !host.startsWith('entry')
    return isNear && UNPLANNED_KINDS.includes(kind) && from < endedAt && to > sentAt - CONTACT_MILLISECONDS
  })
}
