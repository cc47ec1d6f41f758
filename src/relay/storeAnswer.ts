import type { ClaimLedger } from '../ledger/ClaimLedger.js'
import { Outcome } from '../types/Outcome.js'
import { withinDeadline } from '../utils/withinDeadline.js'
import type { RelayAnswer } from './RelayAnswer.js'

/**
 * Records at the ledger what became of a one-time action.
 * An answer too large to be stored leaves the action recorded as possibly run.
 * The guest does not wait for it beyond its deadline; the ledger goes on storing.
 *
 * @param ledger - where the action was claimed
 * @param key - the action's key
 * @param answer - what became of it
 * @param deadline - the guest's, on the clock of `performance.now()`
 * @returns the answer for the guest
 */
export async function storeAnswer (ledger: ClaimLedger, key: string, answer: RelayAnswer, deadline: number): Promise<RelayAnswer> {
  const pendingStore = storeOutcome(ledger, key, answer)
  pendingStore.catch(() => {})
  await withinDeadline(pendingStore, deadline)
  return answer
}

async function storeOutcome (ledger: ClaimLedger, key: string, answer: RelayAnswer): Promise<void> {
  if (answer.outcome === Outcome.NotRun) await ledger.release(key)
  else if (answer.outcome === Outcome.Unknown || !Buffer.isBuffer(answer.body)) await ledger.markUnknown(key)
  else {
    await ledger.complete(key, {
      status: answer.status,
      headers: answer.headers.map(({ name, value }) => [name, value]),
      body: answer.body.toString('base64')
    })
  }
}
