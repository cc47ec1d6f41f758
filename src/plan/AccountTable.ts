import { digestKey } from './digestKey.js'
import type { GuestAccount } from './RoutingPlan.js'

/** Finds the client account of a request. */
export class AccountTable {
  readonly #accountsByDigest = new Map<string, GuestAccount>()

  /** @param accounts - accounts of the plan in force */
  constructor (accounts: readonly GuestAccount[]) {
    for (const account of accounts) for (const digest of account.keyDigests) this.#accountsByDigest.set(digest, account)
  }

  /**
   * @param key - key of a request
   * @returns the account that holds the key, undefined when none does
   */
  find (key: string): GuestAccount | undefined {
    return this.#accountsByDigest.get(digestKey(key))
  }
}
