import { Step } from '../../types/Step.js'
import { packQuickly } from '../sheets/packContent.js'
import type { SheetInForce } from '../sheets/SheetInForce.js'
import { SerialQueue } from '../tasks/SerialQueue.js'
import { Signal } from '../tasks/Signal.js'
import { fetchRevision } from './fetchRevision.js'
import { DeltaHistory } from './DeltaHistory.js'
import type { ReceivedSheet } from './ReceivedSheet.js'
import { SheetFetcher } from './SheetFetcher.js'
import { SheetServer } from './SheetServer.js'
import { SheetStore } from './SheetStore.js'
import { SourceSelector } from './SourceSelector.js'
import { SpreadCounter } from './SpreadCounter.js'
import type { SpreaderOptions } from './SpreaderOptions.js'
import { defaultSpreaderTimings, type SpreaderTimings } from './SpreaderTimings.js'
import type { StoredSheet } from './StoredSheet.js'
import { surveyRevisions } from './surveyRevisions.js'
import { unpackVerified } from './unpackVerified.js'

/**
 * Fetches the newest accepted sheet to this host, and serves it to other hosts.
 * Two hosts of each failure domain watch the replicas and the others watch these two; every host also compares
 * revisions with random hosts. Only a higher revision ever replaces the sheet in force.
 */
export class SheetSpreader {
  readonly #options: SpreaderOptions
  readonly #timings: SpreaderTimings
  readonly #server: SheetServer
  readonly #fetcher: SheetFetcher
  readonly #history = new DeltaHistory()
  readonly #sourceSelector: SourceSelector
  readonly #store: SheetStore | undefined
  readonly #queue = new SerialQueue()
  readonly #listeners = new Set<(sheet: SheetInForce) => void>()
  readonly #newerSheetSignal = new Signal()
  readonly #compareSignal = new Signal()
  readonly #retrySignal = new Signal()
  #storedSheet: StoredSheet | undefined
  #sheetInForce: SheetInForce | undefined
  #isRunning = false

  /** @param options - transport, membership view, storage and timings */
  constructor (options: SpreaderOptions) {
    this.#options = options
    this.#timings = { ...defaultSpreaderTimings, ...options.timings }
    this.#sourceSelector = new SourceSelector(options)
    this.#server = new SheetServer(options.registerHandler, {
      current: () => this.#storedSheet,
      listDeltasSince: (base, maximumCharacters) => this.#history.listSince(base, maximumCharacters),
      isCurrent: options.isCurrent ?? (() => true)
    }, options.counters)
    const { callPeer, counters } = options
    this.#fetcher = new SheetFetcher({ callPeer, counters, pack: (content) => this.#pack(content), partTimeoutMilliseconds: this.#timings.fetchMilliseconds })
    this.#store = options.folder === undefined ? undefined : new SheetStore(options.files, options.folder)
    for (const counter of Object.values(SpreadCounter)) options.counters.declare(counter)
  }

  /** @returns the sheet in force at this host, undefined before the first */
  current (): SheetInForce | undefined {
    return this.#sheetInForce
  }

  /**
   * Calls a listener with each sheet that comes into force at this host.
   *
   * @returns function that removes the listener
   */
  onSheet (listener: (sheet: SheetInForce) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /**
   * Starts, and waits until this host has the highest revision known to a majority of the replicas and to its failure domain.
   * After the timing `readyMilliseconds` it continues with the highest revision that it could fetch.
   *
   * @returns the sheet in force, undefined if no host that answered has one
   */
  async start (): Promise<SheetInForce | undefined> {
    this.#isRunning = true
    await this.#loadStored()
    this.#server.open()
    await this.#catchUpAtStart()
    this.#watchSources()
    this.#compareRevisions()
    this.#fetchNewerSheets()
    return this.#sheetInForce
  }

  stop (): void {
    this.#isRunning = false
    this.#server.notify()
    for (const signal of [this.#newerSheetSignal, this.#compareSignal, this.#retrySignal]) signal.notify()
  }

  /** Puts a sheet in force that the local replica reports as accepted, if it is newer. */
  async offer ({ content, ...sheet }: SheetInForce): Promise<void> {
    if (sheet.revision <= this.#getRevision()) return
    await this.#apply({ stored: { sheet, packedContent: await this.#pack(content) } })
  }

  /** Fetches a newer sheet if a host of the membership view has one; to be called when the view has changed. */
  notice (): void {
    if (this.#sourceSelector.chooseForCatchUp(this.#sheetInForce?.number ?? 0) !== undefined) this.#newerSheetSignal.notify()
  }

  #getRevision (): number {
    return this.#storedSheet?.sheet.revision ?? 0
  }

  async #loadStored (): Promise<void> {
    try {
      const stored = await this.#store?.load()
      if (stored !== undefined) await this.#apply({ stored }, false)
    } catch (error) {
      this.#reportStoreFailure(error)
    }
  }

  async #catchUpAtStart (): Promise<void> {
    const deadline = performance.now() + this.#timings.readyMilliseconds
    while (this.#isRunning && performance.now() < deadline) {
      const survey = await surveyRevisions(this.#options, this.#timings.callMilliseconds)
      for (const source of survey.sources) {
        if (survey.revision > this.#getRevision()) await this.#fetchFrom(source)
      }
      if (survey.isComplete && this.#getRevision() >= survey.revision) return
      await this.#retrySignal.wait(this.#timings.retryMilliseconds)
    }
    this.#options.counters.increment(SpreadCounter.ReadyWithoutReplicas)
    this.#options.log.warn('ready-without-replicas', { step: Step.Spread, revision: this.#getRevision() })
  }

  async #watchSources (): Promise<void> {
    let failures = 0
    while (this.#isRunning) {
      const source = this.#sourceSelector.chooseForWatch(failures)
      const isAnswered = source !== undefined && await this.#watchOnce(source)
      failures = isAnswered ? 0 : failures + 1
      if (isAnswered) continue
      this.#options.counters.increment(SpreadCounter.WatchRetried)
      await this.#retrySignal.wait(this.#timings.retryMilliseconds)
    }
  }

  async #watchOnce (source: string): Promise<boolean> {
    const { watchMilliseconds, callMilliseconds } = this.#timings
    const knownRevision = this.#getRevision()
    const startedAt = performance.now()
    const reply = await fetchRevision(this.#options.callPeer, source, { knownRevision, waitMilliseconds: watchMilliseconds }, callMilliseconds)
    if (reply === undefined) return false
    if (reply.revision > this.#getRevision()) return await this.#fetchFrom(source) && this.#getRevision() >= reply.revision
    return reply.upToDate && (reply.revision > knownRevision || performance.now() - startedAt >= watchMilliseconds / 2)
  }

  async #compareRevisions (): Promise<void> {
    while (this.#isRunning) {
      await this.#compareSignal.wait(this.#timings.compareMilliseconds * (0.5 + this.#options.random()))
      const source = this.#sourceSelector.chooseForComparison()
      if (!this.#isRunning || source === undefined) continue
      const request = { knownRevision: this.#getRevision(), waitMilliseconds: 0 }
      const reply = await fetchRevision(this.#options.callPeer, source, request, this.#timings.callMilliseconds)
      if (reply === undefined) this.#options.counters.increment(SpreadCounter.CompareFailed)
      if (reply !== undefined && reply.revision > this.#getRevision()) await this.#fetchFrom(source)
    }
  }

  async #fetchNewerSheets (): Promise<void> {
    while (this.#isRunning) {
      await this.#newerSheetSignal.wait(this.#timings.watchMilliseconds)
      const source = this.#sourceSelector.chooseForCatchUp(this.#sheetInForce?.number ?? 0)
      if (!this.#isRunning || source === undefined) continue
      if (!await this.#fetchFrom(source)) await this.#retrySignal.wait(this.#timings.retryMilliseconds)
    }
  }

  /** @returns whether this host now has the sheet of the source, or a newer one */
  async #fetchFrom (source: string): Promise<boolean> {
    try {
      const received = await this.#fetcher.fetch(source, this.#sheetInForce)
      return received !== undefined && await this.#apply(received)
    } catch {
      this.#options.counters.increment(SpreadCounter.FetchRetried)
      return false
    }
  }

  async #pack (content: string): Promise<string> {
    return await (this.#options.pack ?? packQuickly)(content)
  }

  #apply (received: ReceivedSheet, isNew = true): Promise<boolean> {
    return this.#queue.run(() => this.#applyIfNewer(received, isNew))
  }

  async #applyIfNewer (received: ReceivedSheet, isNew: boolean): Promise<boolean> {
    const { stored, deltas } = received
    const { sheet } = stored
    if (sheet.revision <= this.#getRevision()) {
      this.#options.counters.increment(SpreadCounter.NotNewer)
      return true
    }
    const content = received.content ?? unpackVerified(stored)
    if (content === undefined) {
      this.#options.counters.increment(SpreadCounter.DigestMismatch)
      this.#options.log.warn('sheet-digest-mismatch', { step: Step.Spread, number: sheet.number, revision: sheet.revision })
      return false
    }
    if (isNew) await this.#saveSheet(stored)
    const inForce = { ...sheet, content }
    this.#history.add(this.#sheetInForce, inForce, deltas)
    this.#putInForce(stored, inForce)
    return true
  }

  #putInForce (stored: StoredSheet, inForce: SheetInForce): void {
    this.#storedSheet = stored
    this.#sheetInForce = inForce
    this.#options.counters.increment(SpreadCounter.Applied)
    this.#options.counters.gauge(SpreadCounter.Revision, inForce.revision)
    this.#options.log.info('sheet-in-force', { step: Step.Spread, number: inForce.number, revision: inForce.revision, digest: inForce.digest })
    for (const listener of this.#listeners) listener(inForce)
    this.#server.notify()
  }

  async #saveSheet (stored: StoredSheet): Promise<void> {
    try {
      await this.#store?.save(stored)
    } catch (error) {
      this.#reportStoreFailure(error)
    }
  }

  #reportStoreFailure (error: unknown): void {
    this.#options.counters.increment(SpreadCounter.StoreFailed)
    this.#options.log.error('sheet-store-failed', { step: Step.Spread, peer: this.#options.folder, reason: String(error) })
  }
}
