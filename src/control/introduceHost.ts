import type { ControlHost } from '../registry/ControlHost.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'

/** Timeout for another control host to take note of this one; the next introduction follows a second after it. */
const TIMEOUT_MILLISECONDS = 500

/**
 * Introduces a control host to the others, and to those that they know: hosts that were added at different times may have no
 * seed in common.
 *
 * @param host - the host, with its location
 * @param peers - peer addresses of the other control hosts that it knows
 * @param callPeer - calls a peer method
 */
export async function introduceHost (host: ControlHost, peers: readonly string[], callPeer: CallPeer): Promise<void> {
  const known = new Set([host.peerAddress, ...peers])
  // A host that does not answer gets the next introduction, a second later.
  const introduceTo = async (address: string): Promise<string[]> => await callPeer<string[]>(address, PeerMethod.IntroduceControlHost, host, TIMEOUT_MILLISECONDS).catch(() => [])
  await Promise.all(peers.map(async (peer) => {
    for (const address of await introduceTo(peer)) {
      if (known.has(address)) continue
      known.add(address)
      await introduceTo(address)
    }
  }))
}
