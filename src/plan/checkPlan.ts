import { formatRouteKey } from './PlanDelta.js'
import { PlanProblem, type PlanFault } from './PlanFault.js'
import type { GuestAccount, PlanRoute, RoutingPlan } from './RoutingPlan.js'

/**
 * Checks a routing plan on its own. Whether it is based on the plan in force is checked when it is applied.
 *
 * @param plan - the plan to check
 * @returns all faults, empty for a valid plan
 */
export function checkPlan (plan: RoutingPlan): PlanFault[] {
  const serviceNames = new Set(plan.services.map(({ name }) => name))
  return [
    ...listDuplicates(plan.services.map(({ name }) => name)).map((name) => ({ problem: PlanProblem.DuplicateService, name, value: name })),
    ...listDuplicates(plan.routes.map(formatRouteKey)).map((routeKey) => ({ problem: PlanProblem.DuplicateRoute, name: routeKey, value: routeKey })),
    ...plan.routes.flatMap((route) => checkRoute(route, serviceNames)),
    ...checkAccounts(plan.accounts ?? [])
  ]
}

/** A key is not told in a fault, only the account that holds it as well. */
function checkAccounts (accounts: readonly GuestAccount[]): PlanFault[] {
  const sharedDigests = new Set(listDuplicates(accounts.flatMap(({ keyDigests }) => [...new Set(keyDigests)])))
  return [
    ...listDuplicates(accounts.map(({ name }) => name)).map((name) => ({ problem: PlanProblem.DuplicateAccount, name, value: name })),
    ...accounts.filter(({ keyDigests }) => keyDigests.some((digest) => sharedDigests.has(digest))).map(({ name }) => ({ problem: PlanProblem.SharedKey, name, value: name })),
    ...accounts.filter(({ requestsPerSecond, burst }) => requestsPerSecond < 0 || burst < 0).map(({ name, requestsPerSecond, burst }) => ({ problem: PlanProblem.NegativeQuota, name, value: `${requestsPerSecond} ${burst}` }))
  ]
}

function checkRoute (route: PlanRoute, serviceNames: Set<string>): PlanFault[] {
  const { name, pathPrefix, mostAttempts, timeoutMilliseconds, targets } = route
  const faults: PlanFault[] = []
  const addFault = (problem: PlanProblem, value: unknown): void => { faults.push({ problem, name, value: String(value) }) }
  if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) addFault(PlanProblem.BadPrefix, pathPrefix)
  if (mostAttempts < 1) addFault(PlanProblem.NoAttempts, mostAttempts)
  if (timeoutMilliseconds <= 0) addFault(PlanProblem.BadTimeout, timeoutMilliseconds)
  for (const { service, weight } of targets) {
    if (!serviceNames.has(service)) addFault(PlanProblem.UnknownService, service)
    if (weight < 0) addFault(PlanProblem.NegativeWeight, weight)
  }
  if (!targets.some(({ weight }) => weight > 0)) addFault(PlanProblem.NoWeight, targets.length)
  return faults
}

function listDuplicates (values: string[]): string[] {
  const seen = new Set<string>()
  const duplicates = new Set<string>()
  for (const value of values) {
    if (seen.has(value)) duplicates.add(value)
    seen.add(value)
  }
  return [...duplicates]
}
