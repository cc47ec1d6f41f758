import { stringify } from 'ini'

/** What the settings files of a deployment say of one host. */
export interface SettingsHost {
  name: string
  domain: string
  region: string
  /** Whether it has a disk, and so keeps a replica. */
  hasDisk: boolean
  peerAddress: string
  guestAddress: string
  operatorAddress: string
}

/** Paths of one host's files, seen from its settings file. */
export interface SettingsPaths {
  dataFolder: string
  peerKeyFile: string
  operatorTokensFile: string
}

/** What a settings file holds besides the hosts and paths. */
export interface SettingsOptions {
  /** Address to dial each peer by name, where it is not the peer's own. */
  dialAddresses?: Map<string, string>
  /** Keys and values of the timings section. */
  timings?: Map<string, string>
}

/**
 * Writes the settings file of one host.
 *
 * @param host - the host
 * @param peers - all other hosts
 * @param paths - where its files are
 * @param options - dial addresses and timings
 * @returns the text in INI
 */
export function composeSettingsFile (host: SettingsHost, peers: SettingsHost[], paths: SettingsPaths, options: SettingsOptions = {}): string {
  const { dialAddresses = new Map<string, string>(), timings = new Map<string, string>() } = options
  return stringify({
    host: {
      name: host.name,
      ...describeHost(host),
      'operator-address': host.operatorAddress,
      ...host.hasDisk ? { 'data-folder': paths.dataFolder } : {}
    },
    secrets: { 'peer-key-file': paths.peerKeyFile, 'operator-tokens-file': paths.operatorTokensFile },
    ...timings.size > 0 ? { timings: Object.fromEntries(timings) } : {},
    peer: Object.fromEntries(peers.map((peer) => [peer.name, describePeer(peer, dialAddresses.get(peer.name))]))
  })
}

function describePeer (peer: SettingsHost, dialAddress: string | undefined): Record<string, string> {
  return {
    ...describeHost(peer),
    ...dialAddress === undefined ? {} : { 'dial-address': dialAddress },
    replica: peer.hasDisk ? 'yes' : 'no'
  }
}

function describeHost ({ domain, region, peerAddress, guestAddress }: SettingsHost): Record<string, string> {
  return { 'failure-domain': domain, region, 'peer-address': peerAddress, 'guest-address': guestAddress }
}
