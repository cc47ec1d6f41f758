import { groupRuns } from '../checks/groupRuns.js'
import { judgeLoss, Loss } from '../checks/judgeLoss.js'
import { PlanHistory } from '../checks/PlanHistory.js'
import type { SoakRecord } from '../SoakRecord.js'
import { AnswerEnd } from './RawRecord.js'

/** How many requests of raw guests ended how. */
export interface AnswerSummary {
  requests: number
  /** Answers that were whole by their framing, and whose body was checked. */
  answers: number
  successes: number
  /** Numbers of requests without a complete answer of an upstream by what they count as. */
  losses: Record<string, number>
}

/** Counts the requests of raw guests. */
export function summarizeAnswers (record: SoakRecord): AnswerSummary {
  const history = new PlanHistory(record)
  const runs = groupRuns(record)
  const losses: Record<string, number> = {}
  for (const exchange of record.exchanges) {
    const loss = judgeLoss(history, exchange, runs.get(exchange.attempt) ?? [])
    if (loss !== Loss.None) losses[loss] = (losses[loss] ?? 0) + 1
  }
  const whole = record.exchanges.filter(({ end }) => end === AnswerEnd.Whole)
  return { requests: record.exchanges.length, answers: whole.length, successes: whole.filter(({ status }) => status === 200).length, losses }
}

/** @returns the numbers as a line of text */
export function formatAnswers ({ requests, answers, successes, losses }: AnswerSummary): string {
  return [`${requests} raw requests`, `${answers} answers checked`, `${successes} successes`, ...Object.entries(losses).map(([name, count]) => `${count} ${name}`)].join(', ')
}
