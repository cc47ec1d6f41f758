import type { KnownState } from '../follow/KnownState.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { discardAnswer } from '../relay/discardAnswer.js'
import { exchange } from '../relay/exchange.js'
import { pause } from '../utils/pause.js'
import type { UpstreamConnections } from './UpstreamConnections.js'
import type { UpstreamProtocol } from './UpstreamProtocol.js'

/** Time for an answer that names the upstream: its health request may wait for a slot behind other requests. */
const TIMEOUT_MILLISECONDS = 3_000
/** Pause before the next request when an upstream refused one without naming itself, or its connection broke. */
const RETRY_PAUSE_MILLISECONDS = 200
const BUFFER_BYTES = 16_384

/** Dependencies of {@link UpstreamIdentifier}. */
export interface UpstreamIdentifierOptions {
  known: Pick<KnownState, 'service'>
  connections: Pick<UpstreamConnections, 'to'>
  protocol: Pick<UpstreamProtocol, 'readIdentifier'>
}

/** Finds out by a health request which upstream answers at an address. A connection alone shows only that something listens there. */
export class UpstreamIdentifier {
  readonly #options: UpstreamIdentifierOptions

  /** @param options - the plan's health paths, connections and protocol */
  constructor (options: UpstreamIdentifierOptions) {
    this.#options = options
  }

  /**
   * Asks until an answer names its upstream, for three seconds at most. It is sent only when the end of a response must be
   * confirmed, since it takes the upstream's time.
   *
   * @param record - the upstream that is expected at its address
   * @returns the identifier in an answer that began after this call, undefined when there was none
   */
  async identify (record: UpstreamRecord): Promise<string | undefined> {
    const deadline = performance.now() + TIMEOUT_MILLISECONDS
    const path = this.#options.known.service(record.service)?.healthPath
    if (path === undefined) return undefined
    while (performance.now() < deadline) {
      const identifier = await this.#ask(record, path, deadline)
      if (identifier !== undefined) return identifier
      await pause(RETRY_PAUSE_MILLISECONDS)
    }
    return undefined
  }

  async #ask (record: UpstreamRecord, path: string, deadline: number): Promise<string | undefined> {
    const { connections, protocol } = this.#options
    return await new Promise((resolve) => {
      const answered = exchange(connections.to(record), {
        peer: record.address,
        method: 'GET',
        path,
        headers: [],
        body: Buffer.alloc(0),
        deadline,
        cancelled: new AbortController().signal,
        answerBufferBytes: BUFFER_BYTES,
        closeConnection: false,
        mayWrite: () => true,
        onHead: (head) => { resolve(protocol.readIdentifier(head)) }
      })
      answered.then(discardAnswer, () => {}).finally(() => { resolve(undefined) })
    })
  }
}
