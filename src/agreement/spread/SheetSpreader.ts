import { Step } from '../../types/Step.js'
import { packQuickly } from '../sheets/packContent.js'
import type { SheetInForce } from '../sheets/SheetInForce.js'
import { Lane } from '../tasks/Lane.js'
import { Signal } from '../tasks/Signal.js'
import { askRevision } from './askRevision.js'
import { DeltaHistory } from './DeltaHistory.js'
import type { ReceivedSheet } from './ReceivedSheet.js'
import { SheetFetcher } from './SheetFetcher.js'
import { SheetServer } from './SheetServer.js'
import { SheetStore } from './SheetStore.js'
import { SourceChoice } from './SourceChoice.js'
import { SpreadCounter } from './SpreadCounter.js'
import type { SpreaderOptions } from './SpreaderOptions.js'
import { defaultSpreaderTimings, type SpreaderTimings } from './SpreaderTimings.js'
import type { StoredSheet } from './StoredSheet.js'
import { surveyRevisions } from './surveyRevisions.js'
import { unpackIntact } from './unpackIntact.js'

/**
 * Brings the newest accepted sheet to this host, and passes it on.
 * Two hosts of each failure domain watch the replicas and the others watch these two; every host also compares
 * revisions with random hosts. Only a higher revision ever replaces the sheet in force.
 */
export class SheetSpreader {
  readonly #options: SpreaderOptions
  readonly #timings: SpreaderTimings
  readonly #server: SheetServer
  readonly #fetcher: SheetFetcher
  readonly #history = new DeltaHistory()
  readonly #sources: SourceChoice
  readonly #store: SheetStore | undefined
  readonly #lane = new Lane()
  readonly #listeners = new Set<(sheet: SheetInForce) => void>()
  readonly #noticed = new Signal()
  readonly #compareSoon = new Signal()
  readonly #retrySoon = new Signal()
  #stored: StoredSheet | undefined
  #inForce: SheetInForce | undefined
  #running = false

  /** @param options - what the spreader works with */
  constructor (options: SpreaderOptions) {
    this.#options = options
    this.#timings = { ...defaultSpreaderTimings, ...options.timings }
    this.#sources = new SourceChoice(options)
    this.#server = new SheetServer(options.registerHandler, {
      current: () => this.#stored,
      deltasSince: (base, mostCharacters) => this.#history.since(base, mostCharacters),
      isCurrent: options.isCurrent ?? (() => true)
    }, options.counters)
    const { callPeer, counters } = options
    this.#fetcher = new SheetFetcher({ callPeer, counters, pack: (content) => this.#pack(content), partMilliseconds: this.#timings.fetchMilliseconds })
    this.#store = options.folder === undefined ? undefined : new SheetStore(options.files, options.folder)
    for (const counter of Object.values(SpreadCounter)) options.counters.declare(counter)
  }

  /** @returns the sheet in force at this host */
  current (): SheetInForce | undefined {
    return this.#inForce
  }

  /**
   * Calls a listener with each sheet that comes into force here.
   *
   * @returns ends the calls
   */
  onSheet (listener: (sheet: SheetInForce) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /**
   * Starts, and waits until this host has the highest revision that a majority of the replicas and its failure domain
   * know of; after a bounded wait, the highest that it could get.
   *
   * @returns the sheet in force, undefined if no host that answered has one
   */
  async start (): Promise<SheetInForce | undefined> {
    this.#running = true
    await this.#loadStored()
    this.#server.open()
    await this.#catchUpAtStart()
    this.#watch()
    this.#compare()
    this.#followNotices()
    return this.#inForce
  }

  stop (): void {
    this.#running = false
    this.#server.notify()
    for (const signal of [this.#noticed, this.#compareSoon, this.#retrySoon]) signal.notify()
  }

  /** Puts a sheet in force that this host's own replica knows to be accepted, if it is newer. */
  async offer ({ content, ...sheet }: SheetInForce): Promise<void> {
    if (sheet.revision <= this.#revision()) return
    await this.#put({ stored: { sheet, packedContent: await this.#pack(content) } })
  }

  /** To be called when the membership view changed: fetches from a host that has a newer sheet. */
  notice (): void {
    if (this.#sources.toCatchUp(this.#inForce?.number ?? 0) !== undefined) this.#noticed.notify()
  }

  #revision (): number {
    return this.#stored?.sheet.revision ?? 0
  }

  async #loadStored (): Promise<void> {
    try {
      const stored = await this.#store?.load()
      if (stored !== undefined) await this.#put({ stored }, false)
    } catch (error) {
      this.#reportStore(error)
    }
  }

  async #catchUpAtStart (): Promise<void> {
    const deadline = performance.now() + this.#timings.readyMilliseconds
    while (this.#running && performance.now() < deadline) {
      const survey = await surveyRevisions(this.#options, this.#timings.callMilliseconds)
      for (const source of survey.sources) {
        if (survey.revision > this.#revision()) await this.#fetchFrom(source)
      }
      if (survey.complete && this.#revision() >= survey.revision) return
      await this.#retrySoon.wait(this.#timings.retryMilliseconds)
    }
    this.#options.counters.increment(SpreadCounter.ReadyWithoutReplicas)
    this.#options.log.warn('ready-without-replicas', { step: Step.Spread, revision: this.#revision() })
  }

  async #watch (): Promise<void> {
    let failures = 0
    while (this.#running) {
      const source = this.#sources.toWatch(failures)
      const answered = source !== undefined && await this.#watchOnce(source)
      failures = answered ? 0 : failures + 1
      if (answered) continue
      this.#options.counters.increment(SpreadCounter.WatchRetried)
      await this.#retrySoon.wait(this.#timings.retryMilliseconds)
    }
  }

  async #watchOnce (source: string): Promise<boolean> {
    const { watchMilliseconds, callMilliseconds } = this.#timings
    const knownRevision = this.#revision()
    const startedAt = performance.now()
    const reply = await askRevision(this.#options.callPeer, source, { knownRevision, waitMilliseconds: watchMilliseconds }, callMilliseconds)
    if (reply === undefined) return false
    if (reply.revision > this.#revision()) return await this.#fetchFrom(source) && this.#revision() >= reply.revision
    return reply.upToDate && (reply.revision > knownRevision || performance.now() - startedAt >= watchMilliseconds / 2)
  }

  async #compare (): Promise<void> {
    while (this.#running) {
      await this.#compareSoon.wait(this.#timings.compareMilliseconds * (0.5 + this.#options.random()))
      const source = this.#sources.toCompare()
      if (!this.#running || source === undefined) continue
      const request = { knownRevision: this.#revision(), waitMilliseconds: 0 }
      const reply = await askRevision(this.#options.callPeer, source, request, this.#timings.callMilliseconds)
      if (reply === undefined) this.#options.counters.increment(SpreadCounter.CompareFailed)
      if (reply !== undefined && reply.revision > this.#revision()) await this.#fetchFrom(source)
    }
  }

  async #followNotices (): Promise<void> {
    while (this.#running) {
      await this.#noticed.wait(this.#timings.watchMilliseconds)
      const source = this.#sources.toCatchUp(this.#inForce?.number ?? 0)
      if (!this.#running || source === undefined) continue
      if (!await this.#fetchFrom(source)) await this.#retrySoon.wait(this.#timings.retryMilliseconds)
    }
  }

  /** @returns whether this host now has what the source has */
  async #fetchFrom (source: string): Promise<boolean> {
    try {
      const received = await this.#fetcher.fetch(source, this.#inForce)
      return received !== undefined && await this.#put(received)
    } catch {
      this.#options.counters.increment(SpreadCounter.FetchRetried)
      return false
    }
  }

  async #pack (content: string): Promise<string> {
    return await (this.#options.pack ?? packQuickly)(content)
  }

  #put (received: ReceivedSheet, isNew = true): Promise<boolean> {
    return this.#lane.run(() => this.#putInTurn(received, isNew))
  }

  async #putInTurn (received: ReceivedSheet, isNew: boolean): Promise<boolean> {
    const { stored, deltas } = received
    const { sheet } = stored
    if (sheet.revision <= this.#revision()) {
      this.#options.counters.increment(SpreadCounter.NotNewer)
      return true
    }
    const content = received.content ?? unpackIntact(stored)
    if (content === undefined) {
      this.#options.counters.increment(SpreadCounter.DigestMismatch)
      this.#options.log.warn('sheet-digest-mismatch', { step: Step.Spread, number: sheet.number, revision: sheet.revision })
      return false
    }
    if (isNew) await this.#save(stored)
    const inForce = { ...sheet, content }
    this.#history.add(this.#inForce, inForce, deltas)
    this.#putInForce(stored, inForce)
    return true
  }

  #putInForce (stored: StoredSheet, inForce: SheetInForce): void {
    this.#stored = stored
    this.#inForce = inForce
    this.#options.counters.increment(SpreadCounter.Applied)
    this.#options.counters.gauge(SpreadCounter.Revision, inForce.revision)
    this.#options.log.info('sheet-in-force', { step: Step.Spread, number: inForce.number, revision: inForce.revision, digest: inForce.digest })
    for (const listener of this.#listeners) listener(inForce)
    this.#server.notify()
  }

  async #save (stored: StoredSheet): Promise<void> {
    try {
      await this.#store?.save(stored)
    } catch (error) {
      this.#reportStore(error)
    }
  }

  #reportStore (error: unknown): void {
    this.#options.counters.increment(SpreadCounter.StoreFailed)
    this.#options.log.error('sheet-store-failed', { step: Step.Spread, peer: this.#options.folder, reason: String(error) })
  }
}
