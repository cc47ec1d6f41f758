import type { GuestAccount, PlanRoute, RoutingPlan } from '../RoutingPlan.js'
import { FindingKind, type PlanFinding } from './PlanFinding.js'

/** Characters that no request target holds in front of its query, so that a prefix with one of them is never matched. */
const IMPOSSIBLE_IN_PATH = /[^\x21-\x7e]|[#?"<>\\^`{|}]/
const PORT = /:\d+$/

/**
 * Finds entries that no request can ever match, or that take part in nothing.
 *
 * @param plan - plan without faults
 * @returns one finding for each such entry
 */
export function findUnmatchable (plan: RoutingPlan): PlanFinding[] {
  const usedServices = new Set(plan.routes.flatMap(({ targets }) => targets.filter(({ weight }) => weight > 0).map(({ service }) => service)))
  return [
    ...plan.routes.flatMap((route) => inspectRoute(route, plan.accounts)),
    ...plan.services.filter(({ name }) => !usedServices.has(name)).map(({ name }) => report(`service ${name}`, 'no route sends requests to it')),
    ...(plan.accounts ?? []).filter(({ keyDigests }) => keyDigests.length === 0).map(({ name }) => report(`account ${name}`, 'it has no key, so that no request can be made in its name'))
  ]
}

function inspectRoute ({ name, host, pathPrefix, targets, isPublic }: PlanRoute, accounts: readonly GuestAccount[] | undefined): PlanFinding[] {
  const entry = `route ${name}`
  const findings = targets.filter(({ weight }) => weight === 0).map(({ service }) => report(entry, `its target ${service} has the weight 0 and gets no request`))
  if (IMPOSSIBLE_IN_PATH.test(pathPrefix)) findings.push(report(entry, `no request has a path that begins with ${JSON.stringify(pathPrefix)}`))
  if (PORT.test(host)) findings.push(report(entry, `the port of a request's host name is ignored, so that ${host} is never matched`))
  if (host === '') findings.push(report(entry, 'a request without a host name is not valid'))
  const hasKeys = accounts === undefined || accounts.some(({ keyDigests }) => keyDigests.length > 0)
  if (!hasKeys && isPublic !== true) findings.push(report(entry, 'it needs a key, and no account has one'))
  return findings
}

function report (entry: string, message: string): PlanFinding {
  return { kind: FindingKind.NeverMatches, entry, message }
}
