import { pause } from './pause.js'
import { RecentMap } from './RecentMap.js'

/** Time between the beginnings of two looks at one subject: a look takes 50 to 100 ms, so that few connections are open for it at a time. */
const SPACING_MILLISECONDS = 20
const MINIMUM_REMEMBERED_SUBJECTS = 1_000

/** Shares looks at the same subject. A look serves only those who asked before it began, since what it sees must be newer than their question. */
export class FreshLooks {
  readonly #begunAt = new RecentMap<number>(MINIMUM_REMEMBERED_SUBJECTS)
  readonly #next = new Map<string, Promise<boolean>>()

  /**
   * @param subject - what is looked at
   * @param look - looks once
   * @returns the result of a look that began after this call
   */
  async look (subject: string, look: () => Promise<boolean>): Promise<boolean> {
    const waitMilliseconds = (this.#begunAt.get(subject) ?? Number.NEGATIVE_INFINITY) + SPACING_MILLISECONDS - performance.now()
    const next = this.#next.get(subject)
    if (next !== undefined) return await next
    if (waitMilliseconds <= 0) return await this.#begin(subject, look)
    const queued = pause(waitMilliseconds).then(() => this.#begin(subject, look))
    this.#next.set(subject, queued)
    return await queued
  }

  async #begin (subject: string, look: () => Promise<boolean>): Promise<boolean> {
    this.#next.delete(subject)
    this.#begunAt.set(subject, performance.now())
    return await look()
  }
}
