import { stringify } from 'ini'

/** Properties of one host that the settings files of its deployment contain. */
export interface SettingsHost {
  name: string
  domain: string
  region: string
  /** Whether the host has a disk and therefore a replica. */
  hasDisk: boolean
  peerAddress: string
  guestAddress: string
  operatorAddress: string
}

/** Paths of one host's files, relative to its settings file. */
export interface SettingsPaths {
  dataFolder: string
  peerKeyFile: string
  operatorTokensFile: string
}

/** Optional parts of a settings file. */
export interface SettingsOptions {
  /** Address to dial by name of the peer, for peers that are not dialed at their own address. */
  dialAddresses?: Map<string, string>
  /** Keys and values of the timings section. */
  timings?: Map<string, string>
}

/**
 * Composes the settings file of one host.
 *
 * @param host - host that reads the file
 * @param peers - all other hosts of the deployment
 * @param paths - paths of the data folder and the secrets
 * @param options - dial addresses and timings, all defaults when missing
 * @returns content of the file as INI
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
