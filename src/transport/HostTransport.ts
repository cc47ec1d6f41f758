import type { Counters } from '../observe/Counters.js'
import { PeerConnections } from '../relay/PeerConnections.js'
import type { HostMemory } from '../limits/HostMemory.js'
import type { CallPeer } from './CallPeer.js'
import { HttpListener } from './HttpListener.js'
import type { HttpListenerOptions } from './HttpListenerOptions.js'
import { PeerClient } from './PeerClient.js'
import type { RegisterPeerHandler } from './PeerHandler.js'
import { PeerServer } from './PeerServer.js'
import { PeerSignature } from './PeerSignature.js'

/** Maximum wait for calls in flight when the transport closes. */
const CLOSE_TIMEOUT_MILLISECONDS = 500
const MAXIMUM_HEADER_BYTES = 131_072

/** Settings of a {@link HostTransport}. */
export interface HostTransportOptions {
  /** Address on which this host listens for peer calls, `ip:port`. */
  peerAddress: string
  /** Key that all hosts share; it signs their calls. */
  peerKey: string
  /** Maps a peer's address to the address to connect to. */
  dialAddress: (address: string) => string
  /** Memory of the calls, of the answers to them, and of the bodies of forwarded requests; unbounded by default. */
  memory?: Pick<HostMemory, 'bodies' | 'calls' | 'connections'>
  /** Called for each fault at the listener. */
  onFault?: HttpListenerOptions['onFault']
}

/** Client, server and listener of this host for calls between hosts. */
export class HostTransport {
  readonly signature: PeerSignature
  readonly server: PeerServer
  readonly listener: HttpListener
  readonly connections: PeerConnections
  readonly callPeer: CallPeer
  readonly registerHandler: RegisterPeerHandler
  readonly #client: PeerClient

  /**
   * @param options - address, key and mapping of addresses
   * @param counters - counters of refused calls
   */
  constructor ({ peerAddress, peerKey, dialAddress, memory, onFault }: HostTransportOptions, counters: Counters) {
    this.signature = new PeerSignature(peerKey)
    this.connections = new PeerConnections(dialAddress)
    this.server = new PeerServer(this.signature, counters, memory)
    this.#client = new PeerClient(this.signature, dialAddress, { address: peerAddress, handlerOf: (method) => this.server.handlerOf(method) }, memory?.calls)
    this.listener = new HttpListener({
      address: peerAddress,
      headerBytes: MAXIMUM_HEADER_BYTES,
      handle: (request, response) => this.server.handle(request, response),
      onMalformed: (status) => `HTTP/1.1 ${status} Refused\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
      connectionMemory: memory?.connections,
      onFault
    })
    this.callPeer = (address, method, parameters, timeoutMilliseconds) => this.#client.call(address, method, parameters, timeoutMilliseconds)
    this.registerHandler = (method, handler) => { this.server.register(method, handler) }
  }

  /** Total size of the call bodies sent so far, in bytes. */
  get bytesSent (): number {
    return this.#client.bytesSent
  }

  /** Stops listening, gives calls in flight a short time to finish, and then closes all connections. */
  async close (): Promise<void> {
    await this.listener.closeWithin(CLOSE_TIMEOUT_MILLISECONDS)
    this.listener.destroy()
    await this.#client.close()
    await this.connections.close()
  }
}
