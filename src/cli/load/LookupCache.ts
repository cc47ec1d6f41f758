import { request, type Dispatcher } from 'undici'
import type { LookupAnswer } from './LookupAnswer.js'

const ANSWER_TIMEOUT_MILLISECONDS = 1000

interface CachedLookup {
  answer: LookupAnswer
  /** Time by the monotonic clock, in milliseconds. */
  expiresAt: number
}

/** Looks up the entry hosts of services, and caches each answer for its lifetime. */
export class LookupCache {
  readonly #entryAddresses: string[]
  readonly #place: string | undefined
  readonly #dispatcher: Dispatcher
  readonly #cachedByService = new Map<string, CachedLookup>()
  readonly #pendingByService = new Map<string, Promise<LookupAnswer | undefined>>()
  #nextEntryIndex = 0

  /**
   * @param entryAddresses - guest addresses that answer lookups, asked in turn
   * @param place - place to name in lookups; undefined to let the address decide
   * @param dispatcher - connection pool for the lookups
   */
  constructor (entryAddresses: string[], place: string | undefined, dispatcher: Dispatcher) {
    this.#entryAddresses = entryAddresses
    this.#place = place
    this.#dispatcher = dispatcher
  }

  /**
   * Finds the entry hosts of a service. Concurrent calls share one lookup.
   *
   * @param service - name of the service
   * @returns a cached or new answer, undefined when no entry host answered
   */
  async find (service: string): Promise<LookupAnswer | undefined> {
    const cached = this.#cachedByService.get(service)
    if (cached !== undefined && cached.expiresAt > performance.now()) return cached.answer
    const pending = this.#pendingByService.get(service) ?? this.#fetch(service)
    this.#pendingByService.set(service, pending)
    return await pending
  }

  /**
   * Discards the cached answer of a service, so that the next call looks it up again.
   *
   * @param service - name of the service
   */
  evict (service: string): void {
    this.#cachedByService.delete(service)
  }

  /**
   * Starts a new lookup in the background; the cached answer is used until it ends.
   *
   * @param service - name of the service
   */
  refresh (service: string): void {
    if (this.#pendingByService.has(service)) return
    this.#pendingByService.set(service, this.#fetch(service))
  }

  async #fetch (service: string): Promise<LookupAnswer | undefined> {
    try {
      for (let attempts = 0; attempts < this.#entryAddresses.length; attempts += 1) {
        const answer = await this.#requestLookup(this.#pickEntryAddress(), service)
        if (answer === undefined) continue
        this.#cachedByService.set(service, { answer, expiresAt: performance.now() + answer.lifetimeSeconds * 1000 })
        return answer
      }
      return undefined
    } finally {
      this.#pendingByService.delete(service)
    }
  }

  #pickEntryAddress (): string {
    const address = this.#entryAddresses[this.#nextEntryIndex % this.#entryAddresses.length] ?? ''
    this.#nextEntryIndex += 1
    return address
  }

  async #requestLookup (address: string, service: string): Promise<LookupAnswer | undefined> {
    const query = new URLSearchParams({ service, ...this.#place === undefined ? {} : { place: this.#place } })
    try {
      const { statusCode, body } = await request(`http://${address}/v1/lookup?${query.toString()}`, {
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS)
      })
      const text = await body.text()
      return statusCode === 200 ? JSON.parse(text) as LookupAnswer : undefined
    } catch {
      return undefined
    }
  }
}
