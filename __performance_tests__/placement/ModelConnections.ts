import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import type { UpstreamRecord } from '../../src/registry/UpstreamRecord.js'
import type { ModelUpstream, ModelWork } from './ModelUpstream.js'

/** A request on the simulated network. */
export interface ModelRequest {
  id: string
  objectKey: string
  /** Run time on an object that the upstream does not remember. */
  coldMilliseconds: number
}

/** State that the connections of all simulated hosts share. */
export interface ModelNetwork {
  /** Upstreams by record identifier. */
  upstreams: Map<string, ModelUpstream>
  /** Requests in flight by identifier. */
  requests: Map<string, ModelRequest>
  /** One-way delay from the failure domain of a host to that of an upstream, in milliseconds. */
  getDelayMilliseconds: (from: string, to: string) => number
  random: () => number
  /** Called at the end of each run. */
  onRun: (wasWarm: boolean, isInOtherRegion: boolean) => void
}

/** Maximum one-way delay within a region; a longer delay leads to another region. */
const MAXIMUM_REGION_DELAY_MILLISECONDS = 5
const SHED_STATUS = 503

/** Connections of one host to the simulated upstreams, with delays and with answer headers as upstreams send them. */
export class ModelConnections {
  readonly #network: ModelNetwork
  readonly #domain: string

  /**
   * @param network - state shared by all hosts
   * @param domain - failure domain of the host
   */
  constructor (network: ModelNetwork, domain: string) {
    this.#network = network
    this.#domain = domain
  }

  /** @returns a dispatcher that sends to an upstream */
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
