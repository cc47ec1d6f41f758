import { combineHomeRegions } from '../combineHomeRegions.js'
import type { GuestAccount, ListenerLimits, PlanRoute, PlanService, RoutingPlan } from '../RoutingPlan.js'
import { FindingKind, type PlanFinding } from './PlanFinding.js'

/** What the hosts of a deployment can hold, in bytes. */
export interface HostCapacity {
  /** Largest head of a request that the parser accepts. */
  headBytes: number
  /** Memory for the bodies of all requests at one entry host. */
  bodyBytes: number
}

/**
 * Finds limits that cannot all take effect.
 *
 * @param plan - plan without faults
 * @param capacity - what the hosts can hold
 * @returns one finding for each contradiction
 */
export function findContradictions (plan: RoutingPlan, capacity: HostCapacity): PlanFinding[] {
  return [
    ...plan.routes.flatMap(inspectRoute),
    ...plan.services.flatMap(inspectService),
    ...(plan.accounts ?? []).flatMap((account) => inspectAccount(account, plan.routes)),
    ...inspectLimits(plan.limits, capacity)
  ]
}

function inspectRoute ({ name, timeoutMilliseconds, targetLatencyMilliseconds, homeRegions }: PlanRoute): PlanFinding[] {
  const findings: PlanFinding[] = []
  if (targetLatencyMilliseconds > timeoutMilliseconds) findings.push(report(`route ${name}`, `its time-out of ${timeoutMilliseconds} ms ends requests before its latency objective of ${targetLatencyMilliseconds} ms`))
  if (new Set(homeRegions).size < homeRegions.length) findings.push(report(`route ${name}`, 'a home region is listed twice'))
  return findings
}

function inspectService ({ name, mostConnections, coldStartMilliseconds, coldRequestsPerSecond }: PlanService): PlanFinding[] {
  const findings: PlanFinding[] = []
  if (mostConnections < 1) findings.push(report(`service ${name}`, 'its upstreams accept no connection'))
  if (coldStartMilliseconds > 0 && coldRequestsPerSecond <= 0) findings.push(report(`service ${name}`, `its upstreams get no request for ${coldStartMilliseconds} ms after their start, also when there are no others`))
  return findings
}

function inspectAccount (account: GuestAccount, routes: readonly PlanRoute[]): PlanFinding[] {
  const { name, requestsPerSecond, burst } = account
  const findings: PlanFinding[] = []
  if (requestsPerSecond === 0 && burst > 0) findings.push(report(`account ${name}`, `its burst of ${burst} has no effect, as it has no limit of requests per second`))
  if (requestsPerSecond > 0 && burst < 1) findings.push(report(`account ${name}`, `with a burst of ${burst} its quota never holds a whole request`))
  const unserved = routes.filter((route) => route.isPublic !== true && combineHomeRegions(route, account)?.length === 0)
  if (unserved.length > 0) findings.push(report(`account ${name}`, `no region may handle its requests on ${unserved.map((route) => route.name).join(', ')}`))
  return findings
}

function inspectLimits ({ headerBytes, bodyBytes, headerTimeoutMilliseconds, idleTimeoutMilliseconds }: ListenerLimits, capacity: HostCapacity): PlanFinding[] {
  const findings: PlanFinding[] = []
  if (headerBytes > capacity.headBytes) findings.push(report('limits', `heads of more than ${capacity.headBytes} bytes are refused, whatever the limit of ${headerBytes} says`))
  if (bodyBytes > capacity.bodyBytes) findings.push(report('limits', `an entry host holds ${capacity.bodyBytes} bytes of bodies, so that one of ${bodyBytes} bytes is refused`))
  if (headerTimeoutMilliseconds <= 0) findings.push(report('limits', 'no head can arrive in time'))
  if (idleTimeoutMilliseconds <= 0) findings.push(report('limits', 'no connection is kept'))
  return findings
}

function report (entry: string, message: string): PlanFinding {
  return { kind: FindingKind.Contradiction, entry, message }
}
