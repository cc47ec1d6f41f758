import assert from 'node:assert/strict'
import { KnownState } from '../../src/follow/KnownState.js'
import type { ControlFollower } from '../../src/follow/ControlFollower.js'
import type { PlanRoute, RoutingPlan } from '../../src/plan/RoutingPlan.js'
import type { ControlCluster } from '../control/ControlCluster.js'
import { createFollower } from './createFollower.js'

/** One process run of an entry host. */
interface FollowingHost {
  name: string
  known: KnownState
  follower: ControlFollower
  version: number
  evacuationRevision: number
}

/** Entry hosts that follow the control hosts of a cluster, and checks on what they know. */
export class FollowingHosts {
  readonly hosts: FollowingHost[] = []
  readonly #cluster: ControlCluster
  readonly #random: () => number
  /** All plans that were submitted, by version; each version is used once. */
  readonly #submitted: ReadonlyMap<number, RoutingPlan>

  /**
   * @param cluster - control hosts to follow
   * @param random - seeded source of the followers' choices
   * @param submitted - plans by version, added to as they are submitted
   */
  constructor (cluster: ControlCluster, random: () => number, submitted: ReadonlyMap<number, RoutingPlan>) {
    this.#cluster = cluster
    this.#random = random
    this.#submitted = submitted
  }

  /** @returns address of an entry host */
  static getAddress (index: number): string {
    return `127.0.1.${index + 1}:7660`
  }

  /** Starts an entry host, or starts it again with no knowledge. */
  start (index: number): void {
    this.stop(index)
    const known = new KnownState()
    const name = `entry-${index}`
    const follower = createFollower({
      seeds: () => this.#cluster.hosts.map(({ address }) => address),
      known,
      callPeer: this.#cluster.network.addHost(FollowingHosts.getAddress(index)).callPeer,
      describeHost: () => ({ name, domain: `domain-${index}`, region: 'asturias', guestAddress: `127.0.1.${index + 1}:7144`, isReady: true, demand: {} }),
      onPlan: () => { this.check() },
      random: this.#random
    })
    this.hosts[index] = { name, known, follower, version: 0, evacuationRevision: -1 }
    follower.run().catch(() => {})
  }

  stop (index: number): void {
    this.hosts[index]?.follower.stop()
  }

  /** Fails when a host knows an older plan or older evacuations than before, or a plan that differs from the submitted one. */
  check (): void {
    for (const host of this.hosts) {
      const { name, known: { plan, evacuationRevision } } = host
      assert.ok((plan?.version ?? 0) >= host.version, `${name} goes back from plan ${host.version} to ${plan?.version}`)
      assert.ok(evacuationRevision >= host.evacuationRevision, `${name} goes back from evacuations ${host.evacuationRevision} to ${evacuationRevision}`)
      if (plan !== undefined && plan.version !== host.version) assert.deepEqual(sortRoutes(plan), sortRoutes(this.#submitted.get(plan.version)!), `${name} has another plan ${plan.version} than was submitted`)
      host.version = plan?.version ?? 0
      host.evacuationRevision = evacuationRevision
    }
  }
}

function sortRoutes ({ routes, services }: RoutingPlan): { routes: PlanRoute[], services: string[] } {
  return { routes: routes.toSorted((left, right) => left.pathPrefix < right.pathPrefix ? -1 : 1), services: services.map(({ name }) => name) }
}
