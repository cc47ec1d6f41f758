import { pause } from './pause.js'
import { RecentMap } from './RecentMap.js'

/** Time between the beginnings of two looks at one subject: a look takes 50 to 100 ms, so that few connections are open for it at a time. */
const SPACING_MILLISECONDS = 20
const MINIMUM_REMEMBERED_SUBJECTS = 1_000
/** Looks at one subject that may run at once: a look at a busy upstream waits for a slot, and each further one takes another. */
const MAXIMUM_CONCURRENT_LOOKS = 3

/** Shares looks at the same subject. A look serves only those who asked before it began, since what it sees must be newer than their question. */
export class FreshLooks {
  readonly #begunAt = new RecentMap<number>(MINIMUM_REMEMBERED_SUBJECTS)
  readonly #next = new Map<string, Promise<boolean>>()
  readonly #running = new Map<string, Set<Promise<unknown>>>()

  /**
   * @param subject - what is looked at
   * @param look - looks once
   * @returns the result of a look that began after this call
   */
  async look (subject: string, look: () => Promise<boolean>): Promise<boolean> {
    const waitMilliseconds = (this.#begunAt.get(subject) ?? Number.NEGATIVE_INFINITY) + SPACING_MILLISECONDS - performance.now()
    const next = this.#next.get(subject)
    if (next !== undefined) return await next
    if (waitMilliseconds <= 0 && !this.#isBusy(subject)) return await this.#begin(subject, look)
    const queued = this.#beginLater(subject, waitMilliseconds, look)
    this.#next.set(subject, queued)
    return await queued
  }

  async #beginLater (subject: string, waitMilliseconds: number, look: () => Promise<boolean>): Promise<boolean> {
    await pause(Math.max(0, waitMilliseconds))
    while (this.#isBusy(subject)) await Promise.race(this.#running.get(subject) ?? [])
    return await this.#begin(subject, look)
  }

  #isBusy (subject: string): boolean {
    return (this.#running.get(subject)?.size ?? 0) >= MAXIMUM_CONCURRENT_LOOKS
  }

  async #begin (subject: string, look: () => Promise<boolean>): Promise<boolean> {
    this.#next.delete(subject)
    this.#begunAt.set(subject, performance.now())
    const running = this.#running.get(subject) ?? new Set()
    this.#running.set(subject, running)
    const result = look()
    // A failure ends the look for those who wait for a place, too, and is thrown to those who asked.
    const ended = result.then(() => {}, () => {})
    running.add(ended)
    try {
      return await result
    } finally {
      running.delete(ended)
      if (running.size === 0) this.#running.delete(subject)
    }
  }
}
