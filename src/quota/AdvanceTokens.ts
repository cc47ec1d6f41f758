import { TOKEN_LIFETIME_MILLISECONDS } from './QuotaBounds.js'

/** Longer than the lifetime of tokens at entry hosts, whose clocks may run more slowly. */
const RECORD_MILLISECONDS = TOKEN_LIFETIME_MILLISECONDS * 1.05

interface HeldTokens {
  amount: number
  endsAt: number
}

/** The tokens of one account that entry hosts hold in advance, as far as one control host knows. */
export class AdvanceTokens {
  readonly #heldByClient = new Map<string, HeldTokens>()

  /** @returns number of tokens that clients other than the given one may still hold */
  sumOthers (client: string): number {
    const now = performance.now()
    let sum = 0
    for (const [other, { amount, endsAt }] of this.#heldByClient) {
      if (now >= endsAt) this.#heldByClient.delete(other)
      else if (other !== client) sum += amount
    }
    return sum
  }

  /** Records the number of tokens that a client holds now. */
  record (client: string, amount: number): void {
    if (amount === 0) this.#heldByClient.delete(client)
    else this.#heldByClient.set(client, { amount, endsAt: performance.now() + RECORD_MILLISECONDS })
  }
}
