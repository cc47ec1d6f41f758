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

/** Options of a {@link SheetFetcher}. */
export interface SheetFetcherOptions {
  callPeer: CallPeer
  /** Compresses a content for storing and forwarding. */
  pack: (content: string) => Promise<string>
  counters: Counters
  /** Timeout of each call in milliseconds. */
  partTimeoutMilliseconds: number
}

/** Fetches sheets as deltas, or in full where that is not possible. */
export class SheetFetcher {
  readonly #options: SheetFetcherOptions

  /** @param options - transport, compression, counters and timeout */
  constructor (options: SheetFetcherOptions) {
    this.#options = options
  }

  /**
   * Fetches the sheet in force at a host.
   *
   * @param source - peer address of the host
   * @param base - sheet in force at this host, undefined for none
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
    // A sheet that is not newer is not put in force, so its content needs no compression.
    if (sheet.revision <= base.revision) return { stored: { sheet, packedContent: '' }, content }
    this.#options.counters.increment(SpreadCounter.DeltaFetched)
    return { stored: { sheet, packedContent: await this.#options.pack(content) }, content, deltas }
  }
}
