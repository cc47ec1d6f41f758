import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import type { UpstreamRecord } from '../../src/registry/UpstreamRecord.js'
import type { ModelUpstream, ModelWork } from './ModelUpstream.js'

/** What a model's network knows of a request. */
export interface ModelRequest {
  id: string
  objectKey: string
  coldMilliseconds: number
}

/** What a model's network works with. */
export interface ModelNetwork {
  upstreams: Map<string, ModelUpstream>
  requests: Map<string, ModelRequest>
  /** One-way delay between a host's failure domain and an upstream's, in milliseconds. */
  delay: (from: string, to: string) => number
  random: () => number
  /** Told of each run that ends. */
  onRun: (wasWarm: boolean, isElsewhere: boolean) => void
}

/** Longer ways lead to another region. */
const NEAR_MILLISECONDS = 5
const STATUS_FULL = 503

/** One host's connections to the upstreams of a model: delays, and answers as upstreams write them. */
export class ModelConnections {
  readonly #network: ModelNetwork
  readonly #domain: string

  /**
   * @param network - upstreams and delays
   * @param domain - failure domain of the host
   */
  constructor (network: ModelNetwork, domain: string) {
    this.#network = network
    this.#domain = domain
  }

  /** @returns connections to an upstream */
  to (record: UpstreamRecord): Dispatcher {
    const dispatch = (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean => {
      this.#send(record, options.headers as string[], handler)
      return true
    }
    return { dispatch } as unknown as Dispatcher
  }

  #send (record: UpstreamRecord, headers: string[], handler: Dispatcher.DispatchHandler): void {
    const upstream = this.#network.upstreams.get(record.id)!
    const request = this.#network.requests.get(headers[headers.indexOf('attempt-id') + 1]!)!
    const delay = this.#network.delay(this.#domain, record.domain)
    let aborted = false
    const controller = {
      abort: (cause: Error) => {
        if (aborted) return
        aborted = true
        setTimeout(() => { upstream.drop(work) }, delay)
        handler.onResponseError?.(controller, cause)
      }
    } as unknown as Dispatcher.DispatchController
    const answer = (status: number, more: IncomingHttpHeaders): void => {
      const load = `${upstream.running},${upstream.waiting},${upstream.slots}`
      setTimeout(() => {
        if (aborted) return
        handler.onResponseStart?.(controller, status, { 'attempt-id': request.id, 'server-load': load, 'content-length': '0', ...more }, '')
        handler.onResponseEnd?.(controller, {})
      }, delay)
    }
    const work: ModelWork = {
      objectKey: request.objectKey,
      coldMilliseconds: request.coldMilliseconds,
      onEnd: (wasWarm) => {
        this.#network.onRun(wasWarm, delay > NEAR_MILLISECONDS)
        answer(200, { 'response-signature': 's' })
      },
      onShed: () => { answer(STATUS_FULL, { 'not-executed': '1' }) }
    }
    handler.onRequestStart?.(controller, {})
    setTimeout(() => { if (!aborted) upstream.take(work, this.#network.random()) }, delay)
  }
}
