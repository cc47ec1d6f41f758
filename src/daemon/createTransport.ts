import { HostTransport, recordListenerFault, type Counters, type HostMemory, type Log, type Settings } from '../hibiscusrelay.js'

/** Creates the transport of the calls to and from the other hosts in the settings, with their dial addresses. */
export function createTransport (settings: Settings, memory: HostMemory, counters: Counters, log: Log): HostTransport {
  const dialAddresses = new Map(settings.peers.map((peer) => [peer.peerAddress, peer.dialAddress]))
  const { host: { peerAddress }, peerKey } = settings
  return new HostTransport({ peerAddress, peerKey, dialAddress: (address) => dialAddresses.get(address) ?? address, memory, onFault: recordListenerFault({ counters, log }, 'peer') }, counters)
}
