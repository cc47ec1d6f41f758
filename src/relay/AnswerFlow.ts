import type { Dispatcher } from 'undici'

/** Minimum time to pause, in milliseconds: each time it is resumed, the HTTP library copies all that was read but not handed over. */
const MINIMUM_PAUSE_MILLISECONDS = 250

/** Pauses the connection of an answer while its receiver is busy, and while its pieces come faster than they should. */
export class AnswerFlow {
  #controller: Dispatcher.DispatchController | undefined
  #isReceiverBusy = false
  #timer: NodeJS.Timeout | undefined
  #isPaused = false

  /** Sets the connection of the answer. */
  begin (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
  }

  /** Pauses until {@link AnswerFlow.markReceiverReady}. */
  markReceiverBusy (): void {
    this.#isReceiverBusy = true
    this.#update()
  }

  /** Records that the receiver has taken everything that has arrived. */
  markReceiverReady (): void {
    this.#isReceiverBusy = false
    this.#update()
  }

  /** Pauses for a time, in milliseconds. */
  pauseFor (milliseconds: number): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined
      this.#update()
    }, Math.max(MINIMUM_PAUSE_MILLISECONDS, milliseconds))
    this.#update()
  }

  /** Forgets the connection, which is no longer that of the answer. */
  end (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    this.#controller = undefined
  }

  #update (): void {
    const mustPause = this.#isReceiverBusy || this.#timer !== undefined
    if (mustPause === this.#isPaused) return
    this.#isPaused = mustPause
    if (mustPause) this.#controller?.pause()
    else this.#controller?.resume()
  }
}
