import type { Counters } from '../../observe/Counters.js'
import type { CallPeer } from '../../transport/CallPeer.js'
import { PeerMethod } from '../../types/PeerMethod.js'
import type { SheetInForce } from '../sheets/SheetInForce.js'
import { applyDeltas } from './applyDeltas.js'
import type { FetchReply } from './FetchReply.js'
import type { FetchRequest } from './FetchRequest.js'
import { fetchSheet } from './fetchSheet.js'
import type { ReceivedSheet } from './ReceivedSheet.js'
import type { SheetDelta } from './SheetDelta.js'
import { SpreadCounter } from './SpreadCounter.js'

/** What a {@link SheetFetcher} works with. */
export interface SheetFetcherOptions {
  callPeer: CallPeer
  /** Packs a content for keeping and passing on. */
  pack: (content: string) => Promise<string>
  counters: Counters
  /** Wait for each answer. */
  partTimeoutMilliseconds: number
}

/** Fetches sheets by what changed in them, or whole where that is not possible. */
export class SheetFetcher {
  readonly #options: SheetFetcherOptions

  /** @param options - calls and counters */
  constructor (options: SheetFetcherOptions) {
    this.#options = options
  }

  /**
   * Fetches the sheet in force at a host.
   *
   * @param source - the host's peer address
   * @param base - the sheet in force here, undefined for none
   * @returns the sheet, undefined if the host has none
   * @throws PeerCallError when a call fails
   */
  async fetch (source: string, base: SheetInForce | undefined): Promise<ReceivedSheet | undefined> {
    if (base === undefined) return await this.#fetchFull(source, SpreadCounter.FullWithoutBase)
    const { callPeer, partTimeoutMilliseconds } = this.#options
    const request: FetchRequest = { offset: 0, base: { revision: base.revision, digest: base.digest } }
    const reply = await callPeer<FetchReply>(source, PeerMethod.FetchSheet, request, partTimeoutMilliseconds)
    if (reply.deltas === undefined) return await this.#fetchFull(source, SpreadCounter.FullForUnknownBase, reply)
    return await this.#applyReply(base, reply, reply.deltas) ?? await this.#fetchFull(source, SpreadCounter.FullForDeltaMismatch)
  }

  async #fetchFull (source: string, reason: SpreadCounter, firstReply?: FetchReply): Promise<ReceivedSheet | undefined> {
    const { callPeer, partTimeoutMilliseconds, counters } = this.#options
    counters.increment(reason)
    const stored = await fetchSheet(callPeer, source, partTimeoutMilliseconds, firstReply)
    return stored === undefined ? undefined : { stored }
  }

  async #applyReply (base: SheetInForce, { sheet }: FetchReply, deltas: SheetDelta[]): Promise<ReceivedSheet | undefined> {
    const content = sheet === undefined ? undefined : applyDeltas(base, sheet, deltas)
    if (sheet === undefined || content === undefined) return undefined
    // What is not newer is passed over where it is put in force, so that it needs no packing.
    if (sheet.revision <= base.revision) return { stored: { sheet, packedContent: '' }, content }
    this.#options.counters.increment(SpreadCounter.DeltaFetched)
    return { stored: { sheet, packedContent: await this.#options.pack(content) }, content, deltas }
  }
}
