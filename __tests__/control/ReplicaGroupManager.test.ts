import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { listVoters } from '../../src/agreement/ReplicaConfiguration.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { ReplicaGroupManager } from '../../src/control/ReplicaGroupManager.js'
import type { ReplicaStatus } from '../../src/agreement/ReplicaStatus.js'
import { SheetCluster, type ClusterHost } from '../agreement/support/SheetCluster.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
const HOST_COUNT = 6
const SEED_COUNT = 3

/** Replicas with a group manager each; only the first three are seeds. */
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
      neededVoters: () => HOST_COUNT - 1,
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

  /** @returns identities of the voters in the leader's configuration, empty without a leader */
  listVoters (): string[] {
    const [leader] = this.cluster.listLeaders()
    return leader === undefined ? [] : listVoters(leader.replicatedLog.status().configuration).map(({ identity }) => identity)
  }

  async waitForVoters (count: number): Promise<void> {
    await this.cluster.advanceUntil(() => this.listVoters().length === count, `${count} voters`)
  }
}

test('seeds form the group, and the other hosts join it and vote', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  assert.equal(managed.listVoters().length, HOST_COUNT)
  managed.stop()
})

test('a host that restarts with an empty disk replaces its old identity by a new one', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  const lost = managed.cluster.hosts.find((host) => !managed.cluster.listLeaders().includes(host))!
  const { identity, address } = lost.replicatedLog.status()
  managed.kill(lost)
  managed.startManager(await managed.cluster.restartWithEmptyDisk(lost), false)
  await managed.cluster.advanceUntil(() => managed.listVoters().length === HOST_COUNT && !managed.listVoters().includes(identity), 'the lost identity is replaced')
  const host = managed.cluster.hosts.find((other) => other.address === address)!
  assert.ok(managed.listVoters().includes(host.replicatedLog.status().identity))
  managed.stop()
})

test('the group recovers from two disks lost at once, and keeps what was accepted', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  const { cluster } = managed
  await cluster.submitMany(cluster.listLeaders()[0]!, 1, 1)
  const lost = cluster.hosts.filter((host) => !cluster.listLeaders().includes(host)).slice(0, 2)
  const identities = lost.map((host) => host.replicatedLog.status().identity)
  for (const host of lost) managed.kill(host)
  for (const host of lost) managed.startManager(await cluster.restartWithEmptyDisk(host), false)
  await cluster.advanceUntil(() => managed.listVoters().length === HOST_COUNT && !identities.some((identity) => managed.listVoters().includes(identity)), 'both are replaced')
  await cluster.waitForSheet(1)
  managed.stop()
})

test('a host at a new address joins at once, and the voter that is gone is removed after a long silence', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  const gone = managed.cluster.hosts.find((host) => !managed.cluster.listLeaders().includes(host))!
  const { identity } = gone.replicatedLog.status()
  managed.kill(gone)
  managed.startManager(await managed.cluster.addHost(), false)
  await managed.waitForVoters(HOST_COUNT + 1)
  await managed.cluster.advanceUntil(() => managed.listVoters().length === HOST_COUNT && !managed.listVoters().includes(identity), 'the voter that is gone is removed')
  managed.stop()
})

/** Shortest time after which the users count a replaced host as complete again. */
const MINIMUM_CATCH_UP_MILLISECONDS = 4_000
/** Half of that time; the other half is left for hosts to catch up after they joined. */
const MAXIMUM_JOIN_MILLISECONDS = MINIMUM_CATCH_UP_MILLISECONDS / 2
/** The users' limit for the recovery after a loss. */
const MAXIMUM_RECOVERY_MILLISECONDS = 15_000

test('two replaced hosts, and two disks lost as soon as the new ones have caught up, leave a majority', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  const { cluster } = managed
  for (const gone of cluster.listFollowers().slice(0, 2)) managed.kill(gone)
  for (let added = 0; added < 2; added += 1) managed.startManager(await cluster.addHost(), false)
  await cluster.advance(MINIMUM_CATCH_UP_MILLISECONDS)
  for (const wiped of cluster.listFollowers().slice(0, 2)) {
    managed.kill(wiped)
    managed.startManager(await cluster.restartWithEmptyDisk(wiped), false)
  }
  await cluster.advance(1_000)
  await cluster.advanceUntil(() => cluster.listLeaders().length === 1, 'a leader is elected', MAXIMUM_RECOVERY_MILLISECONDS)
  await cluster.advanceUntil(() => managed.listVoters().length === HOST_COUNT, 'the group is complete again', MAXIMUM_RECOVERY_MILLISECONDS)
  managed.stop()
})

test('a wiped host joins again in time, even while the first hosts that it asks are silent', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  const { cluster } = managed
  const silent = cluster.hosts.slice(0, 2)
  const lost = silent.map(({ replicatedLog }) => replicatedLog.status().identity)
  for (const gone of silent) managed.kill(gone)
  for (const { address } of silent) cluster.network.pauseHost(address)
  for (let added = 0; added < silent.length; added += 1) managed.startManager(await cluster.addHost(), false)
  await cluster.advanceUntil(() => managed.listVoters().length === HOST_COUNT && !managed.listVoters().some((identity) => lost.includes(identity)), 'the silent hosts are replaced')
  const wiped = cluster.listFollowers().at(-1)!
  const { identity } = wiped.replicatedLog.status()
  managed.kill(wiped)
  managed.startManager(await cluster.restartWithEmptyDisk(wiped), false)
  await cluster.advanceUntil(() => managed.listVoters().length === HOST_COUNT && !managed.listVoters().includes(identity), 'the wiped host has joined in time', MAXIMUM_JOIN_MILLISECONDS)
  managed.stop()
})

// Guards against a group that is never repaired again because one machine lost its disk twice in short order.
test('a host that loses its disk again while the group takes it in does not end the repair of later losses', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  const { cluster } = managed
  const loseDisk = async (host: ClusterHost): Promise<ClusterHost> => {
    managed.kill(host)
    const restarted = await cluster.restartWithEmptyDisk(host)
    managed.startManager(restarted, false)
    return restarted
  }
  const [first, ...others] = cluster.listFollowers() as [ClusterHost, ...ClusterHost[]]
  const firstAgain = await loseDisk(first)
  const { identity } = firstAgain.replicatedLog.status()
  const listMembers = (): string[] => cluster.listLeaders()[0]?.replicatedLog.status().configuration.members.map((member) => member.identity) ?? []
  await cluster.advanceUntil(() => listMembers().includes(identity), 'the host joins')
  await loseDisk(firstAgain)
  await cluster.advance(2 * MINIMUM_CATCH_UP_MILLISECONDS)
  for (const host of others.slice(0, 3)) {
    await loseDisk(host)
    await cluster.advance(2 * MINIMUM_CATCH_UP_MILLISECONDS)
  }
  const leader = await cluster.waitForLeader()
  assert.equal((await cluster.waitFor(cluster.submit(leader, 1))).result, 'accepted')
  assert.equal(managed.listVoters().length, HOST_COUNT)
  managed.stop()
})

// Guards against a replica that asks for ever to join under an identity that was removed before it had joined.
test('an empty replica whose identity was removed begins anew', async (context) => {
  const managed = new ManagedCluster(context)
  await managed.start()
  const { cluster } = managed
  const added = await cluster.addHost()
  const { identity } = added.replicatedLog.status()
  const leader = cluster.listLeaders()[0]!
  const adding = leader.replicatedLog.addLearner(added.address)
  await cluster.advanceUntil(() => leader.replicatedLog.status().configuration.members.some((member) => member.identity === identity), 'the learner is added')
  // It ends before the first snapshot reaches it.
  cluster.kill(added)
  await cluster.waitFor(adding)
  await cluster.waitFor(leader.replicatedLog.remove(identity))
  const emptyAgain = await cluster.open(cluster.addUnopened(cluster.hosts.indexOf(added), added.files.restartProcess()))
  assert.deepEqual([emptyAgain.replicatedLog.status().identity, emptyAgain.replicatedLog.status().role], [identity, ReplicaRole.Empty])
  managed.startManager(emptyAgain, false)
  await cluster.advanceUntil(() => managed.retired.includes(added.address), 'the replica begins anew')
  managed.stop()
})

// Guards against a voter that gives up its disk because of a removal that a leader without a majority proposed in vain.
test('a replica begins anew on a removal that is committed, and on no other one', async (context) => {
  pauseClock(context)
  const base = { address: 'a', group: 'g', term: 1, hasQuorum: false, hearsLeader: false, isCurrent: false, last: { index: 1, term: 1 }, commitIndex: 1, appliedIndex: 1, configuration: { members: [], retired: [] } }
  const local: ReplicaStatus = { ...base, identity: 'cut-off', role: ReplicaRole.Follower }
  const peer: ReplicaStatus = { ...base, identity: 'leader', role: ReplicaRole.Leader, configuration: { members: [], retired: ['cut-off'] }, isConfigurationCommitted: false }
  let retirements = 0
  const unused = async (): Promise<never> => { throw new Error('not used') }
  const manager = new ReplicaGroupManager({
    replica: { status: () => local, bootstrap: unused, promote: unused, remove: unused, replace: unused, completeFormation: unused, listSilent: () => [] },
    address: 'a',
    seeds: () => [],
    isFirstStart: false,
    listPeers: () => ['b'],
    desiredVoters: () => HOST_COUNT,
    neededVoters: () => HOST_COUNT - 1,
    callPeer: async <Result>() => peer as Result,
    onRetired: () => { retirements += 1 },
    log: silentLog
  })
  manager.run().catch(() => {})
  await advance(context, 10_000)
  assert.equal(retirements, 0)
  peer.isConfigurationCommitted = true
  await advance(context, 10_000)
  assert.equal(retirements, 1)
})
