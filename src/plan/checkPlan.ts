import { placeOf } from './PlanDelta.js'
import { PlanProblem, type PlanFault } from './PlanFault.js'
import type { PlanRoute, RoutingPlan } from './RoutingPlan.js'

/**
 * Checks a routing plan by itself; whether it builds on the plan in force is decided when it is applied.
 *
 * @param plan - the plan
 * @returns every fault, none for a valid plan
 */
export function checkPlan (plan: RoutingPlan): PlanFault[] {
  const services = new Set(plan.services.map(({ name }) => name))
  return [
    ...listDuplicates(plan.services.map(({ name }) => name)).map((name) => ({ problem: PlanProblem.DuplicateService, name, value: name })),
    ...listDuplicates(plan.routes.map(placeOf)).map((place) => ({ problem: PlanProblem.DuplicateRoute, name: place, value: place })),
    ...plan.routes.flatMap((route) => checkRoute(route, services))
  ]
}

function checkRoute (route: PlanRoute, services: Set<string>): PlanFault[] {
  const { name, pathPrefix, mostAttempts, timeoutMilliseconds, targets } = route
  const faults: PlanFault[] = []
  const add = (problem: PlanProblem, value: unknown): void => { faults.push({ problem, name, value: String(value) }) }
  if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) add(PlanProblem.BadPrefix, pathPrefix)
  if (mostAttempts < 1) add(PlanProblem.NoAttempts, mostAttempts)
  if (timeoutMilliseconds <= 0) add(PlanProblem.BadTimeout, timeoutMilliseconds)
  for (const { service, weight } of targets) {
    if (!services.has(service)) add(PlanProblem.UnknownService, service)
    if (weight < 0) add(PlanProblem.NegativeWeight, weight)
  }
  if (!targets.some(({ weight }) => weight > 0)) add(PlanProblem.NoWeight, targets.length)
  return faults
}

function listDuplicates (values: string[]): string[] {
  const seen = new Set<string>()
  const twice = new Set<string>()
  for (const value of values) {
    if (seen.has(value)) twice.add(value)
    seen.add(value)
  }
  return [...twice]
}
