/** Shares looks at the same subject. A look serves only those who asked before it began, since what it sees must be newer than their question. */
export class FreshLooks {
  readonly #running = new Map<string, Promise<boolean>>()
  readonly #next = new Map<string, Promise<boolean>>()

  /**
   * @param subject - what is looked at; at most one look at it runs at a time
   * @param look - looks once
   * @returns the result of a look that began after this call
   */
  async look (subject: string, look: () => Promise<boolean>): Promise<boolean> {
    const running = this.#running.get(subject)
    if (running === undefined) return await this.#begin(subject, look)
    const next = this.#next.get(subject) ?? this.#queue(subject, running, look)
    return await next
  }

  #queue (subject: string, running: Promise<boolean>, look: () => Promise<boolean>): Promise<boolean> {
    const beginNext = async (): Promise<boolean> => {
      this.#next.delete(subject)
      return await this.#begin(subject, look)
    }
    // The result of the look that runs concerns only those who asked before it, also when it failed.
    const next = running.then(beginNext, beginNext)
    this.#next.set(subject, next)
    return next
  }

  #begin (subject: string, look: () => Promise<boolean>): Promise<boolean> {
    const running = look().finally(() => { if (this.#running.get(subject) === running) this.#running.delete(subject) })
    this.#running.set(subject, running)
    return running
  }
}
