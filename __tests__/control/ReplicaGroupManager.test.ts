import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { listVoters } from '../../src/agreement/ReplicaConfiguration.js'
import { ReplicaGroupManager } from '../../src/control/ReplicaGroupManager.js'
import { SheetCluster, type ClusterHost } from '../agreement/support/SheetCluster.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
const HOST_COUNT = 6
const SEED_COUNT = 3

/** Replicas with a keeper each; only the first three are seeds. */
class ManagedCluster {
  readonly cluster: SheetCluster
  readonly retired: string[] = []
  readonly #managersByHost = new Map<ClusterHost, ReplicaGroupManager>()

  constructor (context: TestContext) {
    this.cluster = new SheetCluster(context, 1)
  }

  async start (): Promise<void> {
    for (let number = 0; number < HOST_COUNT; number += 1) await this.cluster.addHost()
    for (const host of this.cluster.hosts) this.startManager(host, true)
    await this.waitForVoters(HOST_COUNT)
  }

  startManager (host: ClusterHost, isFirstStart: boolean): void {
    const manager = new ReplicaGroupManager({
      replica: host.replicatedLog,
      address: host.address,
      seeds: () => this.cluster.listAddresses().slice(0, SEED_COUNT),
      isFirstStart,
      listPeers: () => this.cluster.listAddresses().filter((address) => address !== host.address),
      desiredVoters: () => HOST_COUNT,
      callPeer: host.callPeer,
      onRetired: () => { this.retired.push(host.address) },
      log: silentLog
    })
    this.#managersByHost.set(host, manager)
    manager.run().catch(() => {})
  }

  kill (host: ClusterHost): void {
    this.#managersByHost.get(host)?.stop()
    this.cluster.kill(host)
  }

  stop (): void {
    for (const manager of this.#managersByHost.values()) manager.stop()
  }

  /** Identities of the voters, as the leader knows them. */
  listVoters (): string[] {
    const [leader] = this.cluster.listLeaders()
    return leader === undefined ? [] : listVoters(leader.replicatedLog.status().configuration).map(({ identity }) => identity)
  }

  async waitForVoters (count: number): Promise<void> {
    await this.cluster.advanceUntil(() => this.listVoters().length === count, `${count} voters`)
  }
}

test('seeds form the group, and the other hosts join it and vote', async (context) => {
  const kept = new ManagedCluster(context)
  await kept.start()
  assert.equal(kept.listVoters().length, HOST_COUNT)
  kept.stop()
})

test('a host that comes back with an empty disk takes its own place under a new identity', async (context) => {
  const kept = new ManagedCluster(context)
  await kept.start()
  const lost = kept.cluster.hosts.find((host) => !kept.cluster.listLeaders().includes(host))!
  const { identity, address } = lost.replicatedLog.status()
  kept.kill(lost)
  kept.startManager(await kept.cluster.restartWithEmptyDisk(lost), false)
  await kept.cluster.advanceUntil(() => kept.listVoters().length === HOST_COUNT && !kept.listVoters().includes(identity), 'the lost identity is replaced')
  const host = kept.cluster.hosts.find((other) => other.address === address)!
  assert.ok(kept.listVoters().includes(host.replicatedLog.status().identity))
  kept.stop()
})

test('two lost disks at once are mended, and what was accepted stays', async (context) => {
  const kept = new ManagedCluster(context)
  await kept.start()
  const { cluster } = kept
  await cluster.submitMany(cluster.listLeaders()[0]!, 1, 1)
  const lost = cluster.hosts.filter((host) => !cluster.listLeaders().includes(host)).slice(0, 2)
  const identities = lost.map((host) => host.replicatedLog.status().identity)
  for (const host of lost) kept.kill(host)
  for (const host of lost) kept.startManager(await cluster.restartWithEmptyDisk(host), false)
  await cluster.advanceUntil(() => kept.listVoters().length === HOST_COUNT && !identities.some((identity) => kept.listVoters().includes(identity)), 'both are replaced')
  await cluster.waitForSheet(1)
  kept.stop()
})

test('a host at a new address joins at once, and the one that is gone goes when it was silent for long', async (context) => {
  const kept = new ManagedCluster(context)
  await kept.start()
  const gone = kept.cluster.hosts.find((host) => !kept.cluster.listLeaders().includes(host))!
  const { identity } = gone.replicatedLog.status()
  kept.kill(gone)
  kept.startManager(await kept.cluster.addHost(), false)
  await kept.waitForVoters(HOST_COUNT + 1)
  await kept.cluster.advanceUntil(() => kept.listVoters().length === HOST_COUNT && !kept.listVoters().includes(identity), 'the one that is gone is removed')
  kept.stop()
})

/** The shortest time after which the users call a replaced host whole again. */
const MINIMUM_CATCH_UP_MILLISECONDS = 4_000
/** What is left of that time to hosts that must catch up after they joined: half of it. */
const MAXIMUM_JOIN_MILLISECONDS = MINIMUM_CATCH_UP_MILLISECONDS / 2
/** The users' bound on being back after a loss. */
const MAXIMUM_RECOVERY_MILLISECONDS = 15_000

test('two replaced hosts, and two disks lost as soon as the new ones have caught up, leave a majority', async (context) => {
  const kept = new ManagedCluster(context)
  await kept.start()
  const { cluster } = kept
  for (const gone of cluster.listFollowers().slice(0, 2)) kept.kill(gone)
  for (let added = 0; added < 2; added += 1) kept.startManager(await cluster.addHost(), false)
  await cluster.advance(MINIMUM_CATCH_UP_MILLISECONDS)
  for (const wiped of cluster.listFollowers().slice(0, 2)) {
    kept.kill(wiped)
    kept.startManager(await cluster.restartWithEmptyDisk(wiped), false)
  }
  await cluster.advance(1_000)
  await cluster.advanceUntil(() => cluster.listLeaders().length === 1, 'no leader', MAXIMUM_RECOVERY_MILLISECONDS)
  await cluster.advanceUntil(() => kept.listVoters().length === HOST_COUNT, 'not whole again', MAXIMUM_RECOVERY_MILLISECONDS)
  kept.stop()
})

test('a wiped host has its place back in time, also while the first hosts that it asks are silent', async (context) => {
  const kept = new ManagedCluster(context)
  await kept.start()
  const { cluster } = kept
  const silent = cluster.hosts.slice(0, 2)
  const lost = silent.map(({ replicatedLog }) => replicatedLog.status().identity)
  for (const gone of silent) kept.kill(gone)
  for (const { address } of silent) cluster.network.pauseHost(address)
  for (let added = 0; added < silent.length; added += 1) kept.startManager(await cluster.addHost(), false)
  await cluster.advanceUntil(() => kept.listVoters().length === HOST_COUNT && !kept.listVoters().some((identity) => lost.includes(identity)), 'the silent hosts are replaced')
  const wiped = cluster.listFollowers().at(-1)!
  const { identity } = wiped.replicatedLog.status()
  kept.kill(wiped)
  kept.startManager(await cluster.restartWithEmptyDisk(wiped), false)
  await cluster.advanceUntil(() => kept.listVoters().length === HOST_COUNT && !kept.listVoters().includes(identity), 'not back in time', MAXIMUM_JOIN_MILLISECONDS)
  kept.stop()
})
