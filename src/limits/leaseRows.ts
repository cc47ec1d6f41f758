import type { DemandRow, LeaseAnswer, LeaseDemand, LeaseRequest } from './LeaseMessages.js'

const HUNDREDTHS_PER_UNIT = 100

/**
 * Shortens a request for a holder that reads rows. What is held is rounded up and what is lent down, so that a holder
 * never leases out more than it could.
 *
 * @param request - the request
 * @returns the request with rows in place of demands
 */
export function packLeaseRequest (request: LeaseRequest): LeaseRequest {
  return { ...request, demands: [], rows: request.demands.map(toRow) }
}

/**
 * @param request - a request with rows or demands
 * @returns the request with demands
 */
export function unpackLeaseRequest (request: LeaseRequest): LeaseRequest {
  const { rows, ...rest } = request
  return rows === undefined ? request : { ...rest, demands: rows.map(toDemand) }
}

/**
 * Shortens an answer to a request with rows. Amounts are rounded down.
 *
 * @param request - the request as it came
 * @param answer - the answer to it
 * @returns the answer, with amounts in place of grants if the request had rows
 */
export function packLeaseAnswer ({ rows }: LeaseRequest, answer: LeaseAnswer): LeaseAnswer {
  if (rows === undefined || answer.grants.length === 0) return { ...answer, readsRows: true }
  const amountsByBudget = new Map(answer.grants.map(({ budget, amountPerSecond }) => [budget, roundDown(amountPerSecond)]))
  return { ...answer, grants: [], amounts: rows.map(([budget]) => amountsByBudget.get(budget) ?? null), readsRows: true }
}

/**
 * @param request - the request as it was sent
 * @param answer - the answer as it came
 * @returns the answer with grants
 */
export function unpackLeaseAnswer ({ rows = [] }: LeaseRequest, answer: LeaseAnswer): LeaseAnswer {
  const { amounts, ...rest } = answer
  if (amounts === undefined) return answer
  const grants = rows.flatMap(([budget], index) => {
    const amountPerSecond = amounts[index] ?? null
    return amountPerSecond === null ? [] : [{ budget, amountPerSecond }]
  })
  return { ...rest, grants }
}

function toRow ({ budget, wantedPerSecond, heldPerSecond, lentPerSecond }: LeaseDemand): DemandRow {
  return [budget, wantedPerSecond, Math.ceil(heldPerSecond * HUNDREDTHS_PER_UNIT) / HUNDREDTHS_PER_UNIT, roundDown(lentPerSecond)]
}

function toDemand ([budget, wantedPerSecond, heldPerSecond, lentPerSecond]: DemandRow): LeaseDemand {
  return { budget, wantedPerSecond, heldPerSecond, lentPerSecond }
}

function roundDown (amount: number): number {
  return Math.floor(amount * HUNDREDTHS_PER_UNIT) / HUNDREDTHS_PER_UNIT
}
