import { checkPlan } from '../checkPlan.js'
import type { RoutingPlan } from '../RoutingPlan.js'
import { findContradictions, type HostCapacity } from './findContradictions.js'
import { findDifferences } from './findDifferences.js'
import { findUnmatchable } from './findUnmatchable.js'
import { FindingKind, type PlanFinding } from './PlanFinding.js'

/** Input to the inspection of a plan. */
export interface PlanInspection {
  plan: RoutingPlan
  /** The plan in force; undefined when there is none to compare with. */
  inForce?: RoutingPlan
  capacity: HostCapacity
}

/**
 * Inspects a plan before it is sent. Errors are those for which control hosts reject a plan, found by the same check.
 *
 * @param inspection - the plan, the one in force and what the hosts can hold
 * @returns all findings, errors first
 */
export function inspectPlan ({ plan, inForce, capacity }: PlanInspection): PlanFinding[] {
  return [
    ...checkPlan(plan).map(({ name, problem, value }) => ({ kind: FindingKind.Error, entry: name, message: `${problem} (${value})` })),
    ...findVersionErrors(plan, inForce),
    ...findUnmatchable(plan),
    ...findContradictions(plan, capacity),
    ...inForce === undefined ? [] : findDifferences(inForce, plan)
  ]
}

function findVersionErrors (plan: RoutingPlan, inForce: RoutingPlan | undefined): PlanFinding[] {
  if (inForce === undefined || plan.version > inForce.version) return []
  return [{ kind: FindingKind.Error, entry: 'version', message: `${plan.version} is not above ${inForce.version}, the version in force` }]
}
