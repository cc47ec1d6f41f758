import type { EntryRequest } from '../../src/entry/EntryRequest.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { createRoute } from '../plan/createPlan.js'

const DEADLINE_MILLISECONDS = 1_000

/** @returns a request that has just arrived, with the given fields of its route and of itself replaced */
export function createEntryRequest (routeOverrides: Partial<PlanRoute> = {}, overrides: Partial<EntryRequest> = {}): EntryRequest {
  const now = performance.now()
  return {
    id: 'a-1',
    method: 'GET',
    path: '/lookups/1',
    headers: [],
    body: Buffer.alloc(0),
    route: createRoute(routeOverrides),
    objectKey: '1',
    guestDeadline: now + DEADLINE_MILLISECONDS,
    deadline: now + DEADLINE_MILLISECONDS,
    arrivedAt: now,
    readMilliseconds: 0,
    cancelled: new AbortController().signal,
    ...overrides
  }
}
