import type { ClaimLedger } from '../ledger/ClaimLedger.js'
import { Outcome } from '../types/Outcome.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import type { RelayAnswer } from './RelayAnswer.js'

/**
 * Records the outcome of a one-time action in the ledger.
 * An action whose answer is too large to be stored, or may have been cut off, is recorded as possibly run.
 * The guest does not wait beyond its deadline; the ledger completes the record afterwards.
 *
 * @param ledger - ledger that granted the claim
 * @param key - key of the action
 * @param answer - answer to the action
 * @param deadline - deadline of the guest, on the clock of `performance.now()`
 * @returns the same answer, for the guest
 */
export async function storeAnswer (ledger: ClaimLedger, key: string, answer: RelayAnswer, deadline: number): Promise<RelayAnswer> {
  const pendingStore = storeOutcome(ledger, key, answer)
  pendingStore.catch(() => {})
  await waitWithinDeadline(pendingStore, deadline)
  return answer
}

async function storeOutcome (ledger: ClaimLedger, key: string, answer: RelayAnswer): Promise<void> {
  if (answer.outcome === Outcome.NotRun) await ledger.release(key)
  else if (answer.outcome === Outcome.Unknown || !Buffer.isBuffer(answer.body) || answer.endsWithConnection === true) await ledger.markUnknown(key)
  else {
    await ledger.complete(key, {
      status: answer.status,
      headers: answer.headers.map(({ name, value }) => [name, value]),
      body: answer.body.toString('base64')
    })
  }
}
