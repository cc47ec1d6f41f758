import { fetchReplicaStatus } from '../../src/agreement/fetchReplicaStatus.js'
import { computeMajority, listVoters } from '../../src/agreement/ReplicaConfiguration.js'
import type { ReplicaStatus } from '../../src/agreement/ReplicaStatus.js'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { pause } from '../../src/utils/pause.js'
import { FOLLOW_REQUEST, type ClusterControlHost, type ControlCluster } from './ControlCluster.js'

const ENTRY_HOST_ADDRESS = '127.0.0.99:7660'
const INTERVAL_MILLISECONDS = 200
const TIMEOUT_MILLISECONDS = 1_000

interface Newest { planVersion: number, evacuationRevision: number }

/** An entry host that follows all control hosts and checks that none goes back, and reports what the group bears. */
export class GroupObserver {
  isStopped = false
  /** First violation seen. */
  failure: unknown
  readonly #cluster: ControlCluster
  readonly #callPeer: CallPeer
  readonly #newestByHost = new Map<ClusterControlHost, Newest>()

  /** @param cluster - the hosts */
  constructor (cluster: ControlCluster) {
    this.#cluster = cluster
    this.#callPeer = cluster.network.addHost(ENTRY_HOST_ADDRESS).callPeer
  }

  /** Follows all hosts until {@link isStopped}. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      for (const host of this.#cluster.hosts) this.follow(host).catch(() => {})
      await pause(INTERVAL_MILLISECONDS)
    }
  }

  /** @returns answer of a host to an entry host that knows nothing */
  async follow (host: ClusterControlHost): Promise<FollowReply> {
    const before = { ...this.#newestByHost.get(host) ?? { planVersion: 0, evacuationRevision: 0 } }
    const reply = await this.#callPeer<FollowReply>(host.address, PeerMethod.Follow, FOLLOW_REQUEST, TIMEOUT_MILLISECONDS)
    const { planVersion, evacuationRevision } = reply.position
    if (!this.#cluster.hosts.includes(host)) return reply
    if (planVersion < before.planVersion || evacuationRevision < before.evacuationRevision) {
      this.failure ??= new Error(`${host.address} went back from version ${before.planVersion}, evacuations ${before.evacuationRevision}, to ${planVersion}, ${evacuationRevision}`)
    }
    const newest = this.#newestByHost.get(host) ?? before
    this.#newestByHost.set(host, { planVersion: Math.max(newest.planVersion, planVersion), evacuationRevision: Math.max(newest.evacuationRevision, evacuationRevision) })
    return reply
  }

  /** @returns why the group does not bear the loss of so many voters, undefined when it does */
  async findWeakness (toleratedLosses: number): Promise<string | undefined> {
    const statuses = await Promise.all(this.#cluster.hosts.map(({ address }) => fetchReplicaStatus(this.#callPeer, address, TIMEOUT_MILLISECONDS)))
    const leader = statuses.find((status) => status?.hasQuorum === true)
    if (leader === undefined) return `no leader: ${statuses.map(describeStatus).join('; ')}`
    const voters = listVoters(leader.configuration)
    const identities = statuses.map((status) => status?.identity)
    const running = voters.filter(({ identity }) => identities.includes(identity)).length
    if (voters.length >= 2 * toleratedLosses + 1 && running - toleratedLosses >= computeMajority(leader.configuration)) return undefined
    return `${voters.length} voters, of which ${running} run: ${statuses.map(describeStatus).join('; ')}`
  }
}

function describeStatus (status: ReplicaStatus | undefined): string {
  return status === undefined ? 'no answer' : `${status.address} ${status.identity.slice(0, 4)} ${status.role}, term ${status.term}, ${listVoters(status.configuration).length} voters`
}
