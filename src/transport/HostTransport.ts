import type { Counters } from '../observe/Counters.js'
import { PeerConnections } from '../relay/PeerConnections.js'
import type { CallPeer } from './CallPeer.js'
import { HttpListener } from './HttpListener.js'
import { PeerClient } from './PeerClient.js'
import type { RegisterPeerHandler } from './PeerHandler.js'
import { PeerServer } from './PeerServer.js'
import { PeerSignature } from './PeerSignature.js'

const CLOSE_TIMEOUT_MILLISECONDS = 500
const MAXIMUM_HEADER_BYTES = 131_072

/** What the calls between hosts need. */
export interface HostTransportOptions {
  /** Own address for peer calls, `ip:port`. */
  peerAddress: string
  /** The key that all hosts share. */
  peerKey: string
  /** Gives the address to connect to for a peer's address. */
  dialAddress: (address: string) => string
}

/** The host's side of the calls between hosts. */
export class HostTransport {
  readonly signature: PeerSignature
  readonly server: PeerServer
  readonly listener: HttpListener
  readonly connections: PeerConnections
  readonly callPeer: CallPeer
  readonly registerHandler: RegisterPeerHandler
  readonly #client: PeerClient

  /**
   * @param options - addresses and key
   * @param counters - counts refusals
   */
  constructor ({ peerAddress, peerKey, dialAddress }: HostTransportOptions, counters: Counters) {
    this.signature = new PeerSignature(peerKey)
    this.connections = new PeerConnections(dialAddress)
    this.server = new PeerServer(this.signature, counters)
    this.#client = new PeerClient(this.signature, dialAddress, { address: peerAddress, handlerOf: (method) => this.server.handlerOf(method) })
    this.listener = new HttpListener({
      address: peerAddress,
      headerBytes: MAXIMUM_HEADER_BYTES,
      handle: (request, response) => this.server.handle(request, response),
      onMalformed: (status) => `HTTP/1.1 ${status} Refused\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
    })
    this.callPeer = (address, method, parameters, timeoutMilliseconds) => this.#client.call(address, method, parameters, timeoutMilliseconds)
    this.registerHandler = (method, handler) => { this.server.register(method, handler) }
  }

  /** Bytes of call bodies sent so far. */
  get bytesSent (): number {
    return this.#client.bytesSent
  }

  /** Stops listening after the calls in flight, and closes all connections. */
  async close (): Promise<void> {
    await this.listener.closeWithin(CLOSE_TIMEOUT_MILLISECONDS)
    this.listener.destroy()
    await this.#client.close()
    await this.connections.close()
  }
}
