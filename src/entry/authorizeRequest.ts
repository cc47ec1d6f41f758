import type { AccountTable } from '../plan/AccountTable.js'
import type { GuestAccount, PlanRoute } from '../plan/RoutingPlan.js'
import { RefusalReason } from '../types/RefusalReason.js'

/** On whose behalf a request runs, where the plan has client accounts. */
export interface RequestAccess {
  /** Account that holds the guest's key; undefined on a public route without one. */
  account: GuestAccount | undefined
}

/** Input to the check of a key. */
export interface AuthorizationInput {
  /** Client accounts of the plan in force; undefined when it has none. */
  accounts: AccountTable | undefined
  route: PlanRoute
  /** Key of the request, undefined when the guest sent none. */
  key: string | undefined
  /** Whether no newer plan can have withdrawn keys too long ago. */
  areKeysConfirmed: boolean
}

/**
 * Checks the key of a request.
 *
 * @param input - accounts, route and key
 * @returns the access of the request, undefined when the plan has no accounts, or the reason for refusing it
 */
export function authorizeRequest ({ accounts, route, key, areKeysConfirmed }: AuthorizationInput): RequestAccess | RefusalReason | undefined {
  if (accounts === undefined) return undefined
  const account = key === undefined || !areKeysConfirmed ? undefined : accounts.find(key)
  if (account !== undefined || route.isPublic === true) return { account }
  return areKeysConfirmed ? RefusalReason.Unauthorized : RefusalReason.KeysUnconfirmed
}
