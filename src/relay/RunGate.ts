import { RefusalReason } from '../types/RefusalReason.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import type { PoisonGuard } from './PoisonGuard.js'
import type { RelayedRequest } from './RelayedRequest.js'

/** Fraction of the time until the deadline that a copy may wait, so that its refusal still arrives in time. */
const WAIT_FRACTION = 0.95

/** Lets the copies of a request pass one at a time until one of them has run to completion on an upstream. */
export class RunGate {
  readonly #poison: PoisonGuard
  readonly #runEnds = new Map<string, Promise<void>>()

  /** @param poison - records which requests ran to completion */
  constructor (poison: PoisonGuard) {
    this.#poison = poison
  }

  /**
   * Waits until no copy of the request is inside the gate. A request that is proven to be harmless does not wait.
   *
   * @param request - the request to let in, with its deadline and cancellation
   * @returns a function that leaves the gate, or the reason for the refusal
   */
  async enter ({ fingerprint, deadline, cancelled }: RelayedRequest): Promise<(() => void) | RefusalReason> {
    const now = performance.now()
    const waitUntil = now + (deadline - now) * WAIT_FRACTION
    while (!this.#poison.isProven(fingerprint)) {
      const copyEnded = this.#runEnds.get(fingerprint)
      if (copyEnded === undefined) return this.#admit(fingerprint)
      await waitWithinDeadline(copyEnded, waitUntil)
      if (cancelled.aborted) return RefusalReason.Cancelled
      if (performance.now() >= waitUntil) return RefusalReason.DeadlinePassed
    }
    return () => {}
  }

  #admit (fingerprint: string): () => void {
    const { promise, resolve } = createDeferred()
    this.#runEnds.set(fingerprint, promise)
    return () => {
      this.#runEnds.delete(fingerprint)
      resolve()
    }
  }
}

function createDeferred (): { promise: Promise<void>, resolve: () => void } {
  let resolve = (): void => {}
  const promise = new Promise<void>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}
