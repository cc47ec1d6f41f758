/** Time to write an answer to its guest: 30 KB over a link of 2 Mbit/s, and a late event loop. */
const DELIVERY_MILLISECONDS = 300

/** Work that waits and has not begun, such as a request whose body is still being read. */
interface PendingWork {
  answerDue: number
  refuse: () => void
}

/**
 * Decides which requests a stopping host still accepts: those whose answer is due before the host ends. Any other could be
 * cut off while an upstream runs it, and a request that must not be repeated would be lost.
 *
 * Load pattern: a planned stop under load. Guests keep sending on open connections until the host is gone, and runs may
 * take as long as their route allows.
 */
export class StopWindow {
  readonly #pending = new Set<PendingWork>()
  #endsAt = Number.POSITIVE_INFINITY

  /**
   * Begins the stop, and refuses pending work whose answer would be due too late. Later calls change nothing.
   *
   * @param endsAt - when the host cuts off what still runs, on the clock of `performance.now()`
   */
  begin (endsAt: number): void {
    if (this.#endsAt !== Number.POSITIVE_INFINITY) return
    this.#endsAt = endsAt
    for (const { answerDue, refuse } of [...this.#pending]) {
      if (!this.admits(answerDue)) refuse()
    }
  }

  /** @returns whether a request may still be sent to an upstream, by the time at which its answer is due at the latest */
  admits (answerDue: number): boolean {
    return answerDue + DELIVERY_MILLISECONDS <= this.#endsAt
  }

  /**
   * Watches over work that has not begun.
   *
   * @param answerDue - when its answer is due, on the clock of `performance.now()`
   * @param refuse - called when a stop begins that does not admit the work; not called if one began before
   * @returns a function that ends the watch
   */
  watch (answerDue: number, refuse: () => void): () => void {
    const work: PendingWork = { answerDue, refuse }
    this.#pending.add(work)
    return () => { this.#pending.delete(work) }
  }
}
