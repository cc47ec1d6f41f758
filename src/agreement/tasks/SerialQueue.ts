/** Runs asynchronous operations one after another, in the order in which they were added. */
export class SerialQueue {
  #lastOperation: Promise<unknown> = Promise.resolve()

  /**
   * @param operation - runs once all earlier operations have ended
   * @returns the operation's own result
   */
  run<Result> (operation: () => Promise<Result>): Promise<Result> {
    const result = this.#lastOperation.then(operation)
    this.#lastOperation = result.catch(() => {})
    return result
  }

  /** Waits until every operation added so far has ended. */
  async drain (): Promise<void> {
    await this.#lastOperation
  }
}
