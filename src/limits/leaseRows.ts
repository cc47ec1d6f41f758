import type { DemandRow, LeaseAnswer, LeaseDemand, LeaseRequest } from './LeaseMessages.js'

const HUNDREDTHS_PER_UNIT = 100

/**
 * Replaces the demands of a request by compact rows, for a holder that reads them. Held amounts are rounded up and lent
 * amounts down, so that the holder never leases out more than is available.
 *
 * @param request - request with demands
 * @returns the request with rows instead of demands
 */
export function packLeaseRequest (request: LeaseRequest): LeaseRequest {
  return { ...request, demands: [], rows: request.demands.map(toRow) }
}

/**
 * Restores the demands of a request from its rows.
 *
 * @param request - request with rows or demands
 * @returns the request with demands
 */
export function unpackLeaseRequest (request: LeaseRequest): LeaseRequest {
  const { rows, ...rest } = request
  return rows === undefined ? request : { ...rest, demands: rows.map(toDemand) }
}

/**
 * Replaces the grants of an answer by amounts if the request had rows. The amounts are rounded down.
 *
 * @param request - request as received
 * @param answer - answer with grants
 * @returns the answer, with amounts instead of grants if the request had rows
 */
export function packLeaseAnswer ({ rows }: LeaseRequest, answer: LeaseAnswer): LeaseAnswer {
  if (rows === undefined || answer.grants.length === 0) return { ...answer, readsRows: true }
  const amountsByBudget = new Map(answer.grants.map(({ budget, amountPerSecond }) => [budget, roundDown(amountPerSecond)]))
  return { ...answer, grants: [], amounts: rows.map(([budget]) => amountsByBudget.get(budget) ?? null), readsRows: true }
}

/**
 * Restores the grants of an answer from its amounts.
 *
 * @param request - request as sent
 * @param answer - answer as received, with amounts or grants
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
