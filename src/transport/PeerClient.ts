import { JSONRPCClient, JSONRPCErrorException, type JSONRPCResponse } from 'json-rpc-2.0'
import { Agent, buildConnector } from 'undici'
import { errorTexts } from '../errors/errorTexts.js'
import { PeerCallError } from '../errors/PeerCallError.js'
import { failOnConnectionReset } from '../relay/failOnConnectionReset.js'
import { MessageMemory, type MessagePools } from '../limits/MessageMemory.js'
import type { PeerMethod } from '../types/PeerMethod.js'
import { CallCollector } from './CallCollector.js'
import { BODY_ENCODING, encodeBody } from './encodeBody.js'
import { callLocalHost, type LocalHost } from './callLocalHost.js'
import { PeerSignature, SIGNATURE_HEADER } from './PeerSignature.js'

/** Path of JSON-RPC calls on a host's peer listener. */
export const RPC_PATH = '/rpc'

const STATUS_OK = 200
const CONNECTIONS_PER_PEER = 12
const CONNECT_TIMEOUT_MILLISECONDS = 2_000

/** Calls methods of other hosts with JSON-RPC 2.0 over persistent HTTP connections. */
export class PeerClient {
  readonly #agent = new Agent({ connections: CONNECTIONS_PER_PEER, pipelining: 1, connect: failOnConnectionReset(buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS })) })
  readonly #signature: PeerSignature
  readonly #dialAddress: (address: string) => string
  readonly #localHost: LocalHost | undefined
  readonly #memory: MessagePools | undefined
  /** What each peer said last; one that was started again with an earlier version accepts nothing. */
  readonly #acceptedEncodingsByAddress = new Map<string, string>()
  #bytesSent = 0
  #callCount = 0

  /**
   * @param signature - signer of the calls
   * @param dialAddress - maps a peer's address to the address to connect to
   * @param localHost - handlers for calls of this host to itself; without it such calls use a connection as well
   * @param memory - memory of the answers to all calls; unbounded by default
   */
  constructor (signature: PeerSignature, dialAddress: (address: string) => string, localHost?: LocalHost, memory?: MessagePools) {
    this.#signature = signature
    this.#dialAddress = dialAddress
    this.#localHost = localHost
    this.#memory = memory
  }

  /** Total size of the call bodies sent so far, in bytes. */
  get bytesSent (): number {
    return this.#bytesSent
  }

  /** Implements {@link CallPeer}. */
  async call<Result> (address: string, method: PeerMethod, parameters: object, timeoutMilliseconds: number): Promise<Result> {
    if (address === this.#localHost?.address) return await callLocalHost(this.#localHost, method, parameters, timeoutMilliseconds)
    // The JSON-RPC library reports a failure to send like an answer with an error, so `isAnswered` distinguishes the two.
    let isAnswered = false
    const client: JSONRPCClient<void> = new JSONRPCClient(async (request) => {
      const answer = await this.#post(address, JSON.stringify(request), timeoutMilliseconds)
      // The library drops an answer to no known call, and the call would never end.
      if (answer.id !== request.id) throw new Error(errorTexts.answerNamesOtherCall())
      isAnswered = true
      client.receive(answer)
    }, () => this.#nextCallId())
    try {
      return await client.request(method, parameters) as Result
    } catch (error) {
      if (isAnswered && error instanceof JSONRPCErrorException) throw new PeerCallError(errorTexts.peerRefused(method, error.message), address, true, error)
      throw new PeerCallError(errorTexts.peerUnreachable(method), address, false, error)
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  /** An answer that a peer writes once more must not name the next call on its connection. */
  #nextCallId (): number {
    this.#callCount += 1
    return this.#callCount
  }

  async #post (address: string, text: string, timeoutMilliseconds: number): Promise<JSONRPCResponse> {
    const { body, encoding } = encodeBody(text, this.#acceptedEncodingsByAddress.get(address) ?? '')
    const encodingHeader = encoding === undefined ? {} : { 'content-encoding': encoding }
    this.#bytesSent += body.length
    const collector = new CallCollector(timeoutMilliseconds, this.#memory === undefined ? undefined : new MessageMemory(this.#memory))
    this.#agent.dispatch({
      origin: `http://${this.#dialAddress(address)}`,
      path: RPC_PATH,
      method: 'POST',
      headers: { 'content-type': 'application/json', 'accept-encoding': BODY_ENCODING, ...encodingHeader, [SIGNATURE_HEADER]: this.#signature.sign({ path: RPC_PATH, head: '', body }) },
      body,
      headersTimeout: 0,
      bodyTimeout: 0
    }, collector)
    const answer = await collector.answer
    this.#acceptedEncodingsByAddress.set(address, answer.acceptedEncoding)
    if (answer.status !== STATUS_OK) throw new Error(`status ${answer.status}`)
    return JSON.parse(answer.text) as JSONRPCResponse
  }
}
