import { composeSettingsFile, type SettingsHost } from './composeSettingsFile.js'

const HOSTS_PER_DOMAIN = [3, 3, 3, 3, 2, 2]
const REPLICA_DOMAIN_COUNT = 5
const PEER_PORT = 7100
const GUEST_PORT = 7200
const OPERATOR_PORT = 7300

/** Failure domain of an example deployment, with its region. */
export interface ExampleDomain {
  name: string
  region: string
}

/** One of the example deployments. */
export interface ExampleDeployment {
  /** Folder of its files, below `examples`. */
  folder: string
  /** Second number of the loopback addresses of its hosts. */
  networkNumber: number
  /** Six failure domains, two of each region. */
  domains: ExampleDomain[]
}

/** Settings file of one host. */
export interface HostSettingsFile {
  /** Name of the host. */
  name: string
  /** Content of the file as INI. */
  text: string
}

/** All deployments whose settings are committed below `examples`. */
export const EXAMPLE_DEPLOYMENTS: ExampleDeployment[] = [
  {
    folder: 'megafonia',
    networkNumber: 1,
    domains: [
      { name: 'oviedo', region: 'asturias' },
      { name: 'gijon', region: 'asturias' },
      { name: 'santander', region: 'cantabria' },
      { name: 'torrelavega', region: 'cantabria' },
      { name: 'bilbao', region: 'euskadi' },
      { name: 'donostia', region: 'euskadi' }
    ]
  },
  {
    folder: 'rikkszerviz',
    networkNumber: 2,
    domains: [
      { name: 'kozep-1', region: 'hu-kozep' },
      { name: 'kozep-2', region: 'hu-kozep' },
      { name: 'kelet-1', region: 'hu-kelet' },
      { name: 'kelet-2', region: 'hu-kelet' },
      { name: 'nyugat-1', region: 'hu-nyugat' },
      { name: 'nyugat-2', region: 'hu-nyugat' }
    ]
  }
]

/**
 * Composes the settings of all hosts of a deployment: 16 hosts in six failure domains. The first host of each of
 * the first five failure domains has a disk, which gives the three regions two, two and one replicas.
 *
 * @param deployment - network number and failure domains of the hosts
 * @returns one file for each host
 */
export function composeHostSettings (deployment: ExampleDeployment): HostSettingsFile[] {
  const hosts = deployment.domains.flatMap((domain, index) => listHosts(deployment, domain, index))
  return hosts.map((host) => ({ name: host.name, text: composeFile(host, hosts) }))
}

function listHosts (deployment: ExampleDeployment, domain: ExampleDomain, index: number): SettingsHost[] {
  return Array.from({ length: HOSTS_PER_DOMAIN[index]! }, (_, position) => {
    const address = `127.${deployment.networkNumber}.${index + 1}.${position + 1}`
    return {
      name: `${domain.name}-host-${position + 1}`,
      domain: domain.name,
      region: domain.region,
      hasDisk: position === 0 && index < REPLICA_DOMAIN_COUNT,
      peerAddress: `${address}:${PEER_PORT}`,
      guestAddress: `${address}:${GUEST_PORT}`,
      operatorAddress: `${address}:${OPERATOR_PORT}`
    }
  })
}

function composeFile (host: SettingsHost, hosts: SettingsHost[]): string {
  const peers = hosts.filter(({ name }) => name !== host.name)
  const paths = { dataFolder: `../data/${host.name}`, peerKeyFile: '../secrets/peer.key', operatorTokensFile: '../secrets/operators' }
  return composeSettingsFile(host, peers, paths)
}
