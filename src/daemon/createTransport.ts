import { HostTransport, type Counters, type Settings } from '../hibiscusrelay.js'

/** @returns the calls between the hosts that the settings name */
export function createTransport (settings: Settings, counters: Counters): HostTransport {
  const dialAddresses = new Map(settings.peers.map((peer) => [peer.peerAddress, peer.dialAddress]))
  const { host: { peerAddress }, peerKey } = settings
  return new HostTransport({ peerAddress, peerKey, dialAddress: (address) => dialAddresses.get(address) ?? address }, counters)
}
