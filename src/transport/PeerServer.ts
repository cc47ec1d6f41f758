import type { IncomingMessage, ServerResponse } from 'node:http'
import { JSONRPCServer } from 'json-rpc-2.0'
import type { HostMemory } from '../limits/HostMemory.js'
import { MessageMemory } from '../limits/MessageMemory.js'
import type { Counters } from '../observe/Counters.js'
import { refusalCounter } from '../observe/declareCounters.js'
import type { PeerMethod } from '../types/PeerMethod.js'
import { RefusalReason } from '../types/RefusalReason.js'
import type { PeerHandler } from './PeerHandler.js'
import { RPC_PATH } from './PeerClient.js'
import type { PeerSignature } from './PeerSignature.js'
import { SIGNATURE_HEADER } from './PeerSignature.js'
import { BODY_ENCODING, decodeBody, encodeBody } from './encodeBody.js'
import { readBody } from './readBody.js'
import { RELAY_HEAD_HEADER, RELAY_PATH } from './relayPath.js'

const MAXIMUM_CALL_BYTES = 16_777_216

/** Handles a request that another host forwards; its signature has been verified. */
export type RelayHandler = (head: string, body: Buffer, request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Answers calls of other hosts, after verifying their signatures. */
export class PeerServer {
  readonly #rpcServer = new JSONRPCServer({ errorListener: () => {} })
  readonly #handlers = new Map<PeerMethod, PeerHandler<object, unknown>>()
  readonly #signature: PeerSignature
  readonly #counters: Counters
  readonly #memory: Pick<HostMemory, 'bodies' | 'calls'> | undefined
  #relayHandler: RelayHandler | undefined

  /**
   * @param signature - verifier of the calls' signatures
   * @param counters - counters of refused calls
   * @param memory - memory of all calls, and of the bodies of forwarded requests; unbounded by default
   */
  constructor (signature: PeerSignature, counters: Counters, memory?: Pick<HostMemory, 'bodies' | 'calls'>) {
    this.#signature = signature
    this.#counters = counters
    this.#memory = memory
  }

  /** Implements {@link RegisterPeerHandler}. */
  register<Parameters extends object, Result> (method: PeerMethod, handler: PeerHandler<Parameters, Result>): void {
    this.#handlers.set(method, (parameters) => handler(parameters as Parameters))
    this.#rpcServer.addMethod(method, (parameters) => handler(parameters as Parameters))
  }

  /** @returns the handler of a method, undefined when none is registered */
  handlerOf (method: PeerMethod): PeerHandler<object, unknown> | undefined {
    return this.#handlers.get(method)
  }

  /**
   * Sets the handler of forwarded requests. Without one, the path of forwarded requests is refused as unknown.
   *
   * @param handler - handler of the requests that other hosts forward
   */
  registerRelay (handler: RelayHandler): void {
    this.#relayHandler = handler
  }

  /** Handles one HTTP request of a peer: a JSON-RPC call or a forwarded request. */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? ''
    const pools = path === RELAY_PATH ? this.#memory?.bodies : this.#memory?.calls
    const memory = pools === undefined ? undefined : new MessageMemory(pools)
    response.once('close', () => { memory?.release() })
    const body = await readBody(request, MAXIMUM_CALL_BYTES, memory).catch(() => undefined)
    if (body === undefined) {
      this.#refuse(response, 413, RefusalReason.BodyTooLarge)
      return
    }
    const head = String(request.headers[RELAY_HEAD_HEADER] ?? '')
    if (!this.#signature.verify(request.headers[SIGNATURE_HEADER] as string | undefined, { path, head, body })) {
      this.#refuse(response, 401, RefusalReason.Unauthorized)
      return
    }
    if (path === RELAY_PATH && this.#relayHandler !== undefined) {
      await this.#relayHandler(head, body, request, response)
      return
    }
    if (path !== RPC_PATH) {
      this.#refuse(response, 404, RefusalReason.UnknownPath)
      return
    }
    const call = decodeCall(request, body)
    if (call === undefined) {
      this.#refuse(response, 400, RefusalReason.BadRequest)
      return
    }
    const text = JSON.stringify(await this.#rpcServer.receiveJSON(call))
    const answer = encodeBody(text, String(request.headers['accept-encoding'] ?? ''))
    const encodingHeader = answer.encoding === undefined ? {} : { 'content-encoding': answer.encoding }
    omitOptionalHeaders(response)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': answer.body.length, 'accept-encoding': BODY_ENCODING, ...encodingHeader }).end(answer.body)
  }

  #refuse (response: ServerResponse, status: number, reason: RefusalReason): void {
    this.#counters.increment(refusalCounter(reason))
    response.writeHead(status, { 'content-type': 'application/json', connection: 'close' }).end(JSON.stringify({ reason }))
  }
}

/** Hosts call each other many times a second, and most answers are shorter than the headers that the runtime adds. */
function omitOptionalHeaders (response: ServerResponse): void {
  response.sendDate = false
  // An HTTP/1.1 connection stays open by default; a listener that stops has set this header.
  if (!response.hasHeader('connection')) response.removeHeader('connection')
}

/** @returns the call as JSON text, undefined when its compressed body is corrupt or too large */
function decodeCall (request: IncomingMessage, body: Buffer): string | undefined {
  try {
    return decodeBody({ body, encoding: request.headers['content-encoding'] === BODY_ENCODING ? BODY_ENCODING : undefined })
  } catch {
    // The caller refuses the call and counts it.
    return undefined
  }
}
