import { GossipMembership, type Counters, type Log, type Membership, type Settings, type HostTransport } from '../hibiscusrelay.js'

/** Creates the membership of a host; its seeds are the peers in the settings. */
export function createMembership (settings: Settings, transport: HostTransport, counters: Counters, log: Log): Membership {
  return new GossipMembership({
    self: settings.host,
    seeds: settings.peers.map((peer) => peer.peerAddress),
    callPeer: transport.callPeer,
    registerHandler: transport.registerHandler,
    random: Math.random,
    counters,
    log
  })
}
