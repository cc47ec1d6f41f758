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

const OPEN_WATCHES = 512
const LONGEST_WATCH_MILLISECONDS = 30_000
const PART_CHARACTERS = 512 * 1024

/** What a {@link SheetServer} tells of. */
export interface SheetServerSource {
  /** @returns the sheet in force */
  current: () => StoredSheet | undefined
  /**
   * @param base - the sheet that another host has
   * @param mostCharacters - length from which on they are of no use
   * @returns the deltas from there to the sheet in force, undefined when they are not known or too long
   */
  deltasSince: (base: DeltaBase, mostCharacters: number) => SheetDelta[] | undefined
  /** @returns whether this host would learn of a newer sheet */
  isCurrent: () => boolean
}

/** Tells other hosts which sheet is in force here, and sends it to them. */
export class SheetServer {
  readonly #source: SheetServerSource
  readonly #counters: Counters
  readonly #watches = new Set<Signal>()
  readonly #opened: Promise<void>
  #open: () => void = () => {}

  /**
   * @param registerHandler - registers the methods
   * @param source - the sheet in force
   * @param counters - counts refusals
   */
  constructor (registerHandler: RegisterPeerHandler, source: SheetServerSource, counters: Counters) {
    this.#source = source
    this.#counters = counters
    this.#opened = new Promise((resolve) => { this.#open = resolve })
    registerHandler(PeerMethod.SheetRevision, (request: RevisionRequest) => this.#revision(request))
    registerHandler(PeerMethod.FetchSheet, (request: FetchRequest) => this.#part(request))
  }

  /** Starts answering: what this host kept over its restart is in force again. */
  open (): void {
    this.#open()
  }

  /** Answers all calls that wait for a change. */
  notify (): void {
    for (const watch of this.#watches) watch.notify()
  }

  async #revision ({ knownRevision, waitMilliseconds }: RevisionRequest): Promise<RevisionReply> {
    await this.#opened
    const { revision, upToDate } = this.#reply()
    if (waitMilliseconds > 0 && upToDate && revision <= knownRevision) await this.#change(waitMilliseconds)
    return this.#reply()
  }

  #reply (): RevisionReply {
    const sheet = this.#source.current()?.sheet
    return { revision: sheet?.revision ?? 0, number: sheet?.number ?? 0, upToDate: this.#source.isCurrent() }
  }

  async #change (waitMilliseconds: number): Promise<void> {
    if (this.#watches.size >= OPEN_WATCHES) {
      this.#counters.increment(SpreadCounter.WatchFull)
      return
    }
    const watch = new Signal()
    this.#watches.add(watch)
    await watch.wait(Math.min(waitMilliseconds, LONGEST_WATCH_MILLISECONDS))
    this.#watches.delete(watch)
  }

  #part ({ offset, base }: FetchRequest): FetchReply {
    const stored = this.#source.current()
    if (stored === undefined) return { data: '', totalCharacters: 0 }
    const { sheet, packedContent } = stored
    const deltas = base === undefined ? undefined : this.#deltas(base, stored)
    if (deltas !== undefined) return { sheet, data: '', totalCharacters: packedContent.length, deltas }
    return { sheet, data: packedContent.slice(offset, offset + PART_CHARACTERS), totalCharacters: packedContent.length }
  }

  #deltas (base: DeltaBase, { sheet, packedContent }: StoredSheet): SheetDelta[] | undefined {
    if (base.revision === sheet.revision && base.digest === sheet.digest) return []
    return this.#source.deltasSince(base, Math.min(packedContent.length, PART_CHARACTERS))
  }
}
