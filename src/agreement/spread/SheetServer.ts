import type { Counters } from '../../observe/Counters.js'
import type { RegisterPeerHandler } from '../../transport/PeerHandler.js'
import { PeerMethod } from '../../types/PeerMethod.js'
import { Signal } from '../tasks/Signal.js'
import type { FetchReply } from './FetchReply.js'
import type { FetchRequest } from './FetchRequest.js'
import type { RevisionReply } from './RevisionReply.js'
import type { RevisionRequest } from './RevisionRequest.js'
import type { DeltaBase, SheetDelta } from './SheetDelta.js'
import { SpreadCounter } from './SpreadCounter.js'
import type { StoredSheet } from './StoredSheet.js'

const MAXIMUM_OPEN_WATCHES = 512
const MAXIMUM_WATCH_MILLISECONDS = 30_000
const MAXIMUM_PART_CHARACTERS = 512 * 1024

/** Source of the sheets that a {@link SheetServer} serves. */
export interface SheetServerSource {
  /** @returns the sheet in force, undefined before the first */
  current: () => StoredSheet | undefined
  /**
   * @param base - sheet that another host has
   * @param maximumCharacters - total length from which on sending the full sheet is better
   * @returns deltas from the base to the sheet in force, undefined when they are unknown or too long
   */
  listDeltasSince: (base: DeltaBase, maximumCharacters: number) => SheetDelta[] | undefined
  /** @returns whether this host would receive a newer sheet */
  isCurrent: () => boolean
}

/** Answers other hosts' calls for the revision and the content of the sheet in force. */
export class SheetServer {
  readonly #source: SheetServerSource
  readonly #counters: Counters
  readonly #watches = new Set<Signal>()
  readonly #whenOpen: Promise<void>
  #resolveOpen: () => void = () => {}

  /**
   * @param registerHandler - registers the handlers of the peer methods
   * @param source - source of the sheet in force and its deltas
   * @param counters - counts refused watches
   */
  constructor (registerHandler: RegisterPeerHandler, source: SheetServerSource, counters: Counters) {
    this.#source = source
    this.#counters = counters
    this.#whenOpen = new Promise((resolve) => { this.#resolveOpen = resolve })
    registerHandler(PeerMethod.SheetRevision, (request: RevisionRequest) => this.#handleRevisionRequest(request))
    registerHandler(PeerMethod.FetchSheet, (request: FetchRequest) => this.#handleFetchRequest(request))
  }

  /** Starts to answer revision calls; to be called once the sheet stored before a restart is in force again. */
  open (): void {
    this.#resolveOpen()
  }

  /** Answers all calls that wait for a newer sheet. */
  notify (): void {
    for (const watch of this.#watches) watch.notify()
  }

  async #handleRevisionRequest ({ knownRevision, waitMilliseconds }: RevisionRequest): Promise<RevisionReply> {
    await this.#whenOpen
    const { revision, upToDate } = this.#createRevisionReply()
    if (waitMilliseconds > 0 && upToDate && revision <= knownRevision) await this.#waitForChange(waitMilliseconds)
    return this.#createRevisionReply()
  }

  #createRevisionReply (): RevisionReply {
    const sheet = this.#source.current()?.sheet
    return { revision: sheet?.revision ?? 0, number: sheet?.number ?? 0, upToDate: this.#source.isCurrent() }
  }

  async #waitForChange (waitMilliseconds: number): Promise<void> {
    if (this.#watches.size >= MAXIMUM_OPEN_WATCHES) {
      this.#counters.increment(SpreadCounter.WatchFull)
      return
    }
    const watch = new Signal()
    this.#watches.add(watch)
    await watch.wait(Math.min(waitMilliseconds, MAXIMUM_WATCH_MILLISECONDS))
    this.#watches.delete(watch)
  }

  #handleFetchRequest ({ offset, base }: FetchRequest): FetchReply {
    const stored = this.#source.current()
    if (stored === undefined) return { data: '', totalCharacters: 0 }
    const { sheet, packedContent } = stored
    const deltas = base === undefined ? undefined : this.#findDeltas(base, stored)
    if (deltas !== undefined) return { sheet, data: '', totalCharacters: packedContent.length, deltas }
    return { sheet, data: packedContent.slice(offset, offset + MAXIMUM_PART_CHARACTERS), totalCharacters: packedContent.length }
  }

  #findDeltas (base: DeltaBase, { sheet, packedContent }: StoredSheet): SheetDelta[] | undefined {
    if (base.revision === sheet.revision && base.digest === sheet.digest) return []
    return this.#source.listDeltasSince(base, Math.min(packedContent.length, MAXIMUM_PART_CHARACTERS))
  }
}
