import { formatRouteKey } from '../PlanDelta.js'
import type { GuestAccount, PlanRoute, RoutingPlan } from '../RoutingPlan.js'
import { FindingKind, type PlanFinding } from './PlanFinding.js'

/** Entries of one kind in two plans. */
interface EntryLists<Entry> {
  before: readonly Entry[]
  after: readonly Entry[]
  /** @returns what identifies an entry in both plans */
  identify: (entry: Entry) => string
  /** @returns how an entry is named in a finding */
  describe: (entry: Entry) => string
  /** What an added and a removed entry does to requests. */
  effects: { added: string, removed: string }
}

/**
 * Compares a plan with the one in force, field by field.
 *
 * @param inForce - the plan in force
 * @param plan - the plan that is to replace it
 * @returns one finding for each entry that was added or removed, and for each changed field
 */
export function findDifferences (inForce: RoutingPlan, plan: RoutingPlan): PlanFinding[] {
  return [
    ...compareLists({ before: inForce.routes, after: plan.routes, identify: formatRouteKey, describe: ({ name }: PlanRoute) => `route ${name}`, effects: { added: 'its requests were answered 404 or matched a shorter prefix', removed: 'its requests are answered 404 or match a shorter prefix' } }),
    ...compareLists({ before: inForce.services, after: plan.services, identify: ({ name }) => name, describe: ({ name }) => `service ${name}`, effects: { added: 'its upstreams are accepted from now on', removed: 'its upstreams get no further request' } }),
    ...compareLists({ before: (inForce.accounts ?? []).map(hideKeys), after: (plan.accounts ?? []).map(hideKeys), identify: ({ name }) => name, describe: ({ name }) => `account ${name}`, effects: { added: 'its keys are accepted from now on', removed: 'requests with its keys are answered 401' } }),
    ...compareKeys(inForce.accounts ?? [], plan.accounts ?? []),
    ...compareFields('limits', inForce.limits, plan.limits),
    ...compareAccountUse(inForce, plan)
  ]
}

function compareLists<Entry extends object> ({ before, after, identify, describe, effects }: EntryLists<Entry>): PlanFinding[] {
  const previous = new Map(before.map((entry) => [identify(entry), entry]))
  const next = new Set(after.map(identify))
  return [
    ...before.filter((entry) => !next.has(identify(entry))).map((entry) => report(describe(entry), `removed: ${effects.removed}`)),
    ...after.flatMap((entry) => {
      const earlier = previous.get(identify(entry))
      return earlier === undefined ? [report(describe(entry), `added: ${effects.added}`)] : compareFields(describe(entry), earlier, entry)
    })
  ]
}

function compareFields (entry: string, before: object, after: object): PlanFinding[] {
  const fieldsBefore = before as Record<string, unknown>
  const fieldsAfter = after as Record<string, unknown>
  const names = [...new Set([...Object.keys(fieldsBefore), ...Object.keys(fieldsAfter)])]
  return names
    .filter((name) => JSON.stringify(fieldsBefore[name]) !== JSON.stringify(fieldsAfter[name]))
    .map((name) => report(entry, `${name}: ${format(fieldsBefore[name])} becomes ${format(fieldsAfter[name])}`))
}

/** Keys are secret, and their digests tell an operator nothing, so that only their numbers are reported. */
function compareKeys (before: readonly GuestAccount[], after: readonly GuestAccount[]): PlanFinding[] {
  const digestsBefore = new Map(before.map(({ name, keyDigests }) => [name, new Set(keyDigests)]))
  return after.flatMap(({ name, keyDigests }) => {
    const earlier = digestsBefore.get(name)
    if (earlier === undefined) return []
    const added = keyDigests.filter((digest) => !earlier.has(digest)).length
    const withdrawn = [...earlier].filter((digest) => !keyDigests.includes(digest)).length
    if (added + withdrawn === 0) return []
    return [report(`account ${name}`, `${added} keys added, ${withdrawn} withdrawn: requests with a withdrawn key are answered 401`)]
  })
}

function compareAccountUse ({ accounts: before }: RoutingPlan, { accounts: after }: RoutingPlan): PlanFinding[] {
  if ((before === undefined) === (after === undefined)) return []
  return [report('accounts', after === undefined ? 'requests need no key any more' : 'requests need a key from now on, except on public routes')]
}

function hideKeys ({ keyDigests, ...account }: GuestAccount): Omit<GuestAccount, 'keyDigests'> {
  return account
}

function format (value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value)
}

function report (entry: string, message: string): PlanFinding {
  return { kind: FindingKind.Difference, entry, message }
}
