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
  getDelayMilliseconds: (from: string, to: string) => number
  random: () => number
  /** Told of each run that ends. */
  onRun: (wasWarm: boolean, isInOtherRegion: boolean) => void
}

/** Longer ways lead to another region. */
const MAXIMUM_REGION_DELAY_MILLISECONDS = 5
const SHED_STATUS = 503

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
    const delayMilliseconds = this.#network.getDelayMilliseconds(this.#domain, record.domain)
    let isAborted = false
    const controller = {
      abort: (cause: Error) => {
        if (isAborted) return
        isAborted = true
        setTimeout(() => { upstream.discard(work) }, delayMilliseconds)
        handler.onResponseError?.(controller, cause)
      }
    } as unknown as Dispatcher.DispatchController
    const sendAnswer = (status: number, extraHeaders: IncomingHttpHeaders): void => {
      const serverLoad = `${upstream.running},${upstream.waiting},${upstream.slots}`
      setTimeout(() => {
        if (isAborted) return
        handler.onResponseStart?.(controller, status, { 'attempt-id': request.id, 'server-load': serverLoad, 'content-length': '0', ...extraHeaders }, '')
        handler.onResponseEnd?.(controller, {})
      }, delayMilliseconds)
    }
    const work: ModelWork = {
      objectKey: request.objectKey,
      coldMilliseconds: request.coldMilliseconds,
      onEnd: (wasWarm) => {
        this.#network.onRun(wasWarm, delayMilliseconds > MAXIMUM_REGION_DELAY_MILLISECONDS)
        sendAnswer(200, { 'response-signature': 's' })
      },
      onShed: () => { sendAnswer(SHED_STATUS, { 'not-executed': '1' }) }
    }
    handler.onRequestStart?.(controller, {})
    setTimeout(() => { if (!isAborted) upstream.accept(work, this.#network.random()) }, delayMilliseconds)
  }
}
