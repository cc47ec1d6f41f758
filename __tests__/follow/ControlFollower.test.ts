import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { KnownState } from '../../src/follow/KnownState.js'
import { CrashTable } from '../../src/crashes/CrashTable.js'
import { StateFeed } from '../../src/follow/StateFeed.js'
import { PlanEntryKind } from '../../src/plan/PlanEntry.js'
import { PlanState } from '../../src/plan/PlanState.js'
import type { ControlHost } from '../../src/registry/ControlHost.js'
import { EntryHostTable } from '../../src/registry/EntryHostTable.js'
import { UpstreamTable } from '../../src/registry/UpstreamTable.js'
import { MemoryNetwork } from '../agreement/support/MemoryNetwork.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { createPlan, createSubmission } from '../plan/createPlan.js'
import { createFollower } from './createFollower.js'
import { createFollowReply } from './createFollowReply.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { advance, pauseClock } from '../support/pauseClock.js'

/** Shortest of the users' limits for the time until a change is in force at the hosts of a large deployment. */
const MAXIMUM_APPLY_MILLISECONDS = 2_500
const controlHosts = [{ peerAddress: 'far', domain: 'bilbao', region: 'euskadi' }, { peerAddress: 'near', domain: 'oviedo', region: 'asturias' }]

/** A control host in memory: its plans, its tables and its feed. */
class ControlHostFixture {
  readonly plans = new PlanState()
  readonly upstreams = new UpstreamTable({ lostMilliseconds: 4_500 })
  readonly entryHosts = new EntryHostTable()
  isCurrent = true
  readonly feed: StateFeed

  constructor (network: MemoryNetwork, name: string, others: ControlHost[]) {
    const { registerHandler } = network.addHost(name)
    const { plans, upstreams, entryHosts } = this
    this.feed = new StateFeed({ feed: name, plans, upstreams, entryHosts, crashes: new CrashTable(), isCurrent: () => this.isCurrent, listControlHosts: () => [...controlHosts, ...others], registerHandler })
    this.feed.open()
  }

  acceptPlan (version: number, base: number): void {
    this.plans.apply({ kind: PlanEntryKind.Submit, submission: createSubmission(version, base) }, version)
    this.feed.notifyChange()
  }
}

function startFollower (context: TestContext, others: ControlHost[] = []) {
  pauseClock(context)
  const network = new MemoryNetwork()
  const hosts = { far: new ControlHostFixture(network, 'far', others), near: new ControlHostFixture(network, 'near', others) }
  const known = new KnownState()
  const follower = createFollower({ seeds: () => ['far'], known, callPeer: network.addHost('entry').callPeer })
  follower.run().catch(() => {})
  context.after(() => { follower.stop() })
  return { network, hosts, known, follower }
}

test('a follower switches to a near control host, and receives a change as soon as it is made', async (context) => {
  const { hosts, known } = startFollower(context)
  await advance(context, 1_200)
  assert.equal(hosts.near.feed.hasRecentReport('entry-1'), true)
  hosts.near.acceptPlan(2, 0)
  hosts.near.upstreams.merge(createUpstreamRecord())
  hosts.near.feed.notifyChange()
  await advance(context, 100)
  assert.equal(known.plan?.version, 2)
  assert.equal(known.listReady('inventario').length, 1)
  assert.deepEqual(hosts.near.entryHosts.choose('oviedo', 'asturias'), ['127.0.0.1:1'])
})

test('a follower switches from an unreachable control host to another within two seconds', async (context) => {
  const { network, hosts, known } = startFollower(context)
  await advance(context, 1_200)
  network.removeHost('near')
  hosts.far.acceptPlan(2, 0)
  await advance(context, 2_000)
  assert.equal(known.plan?.version, 2)
})

test('a follower switches from a control host without a leader to one that has a leader', async (context) => {
  const { hosts, known } = startFollower(context)
  await advance(context, 1_200)
  hosts.near.isCurrent = false
  hosts.far.acceptPlan(2, 0)
  await advance(context, 2_500)
  assert.equal(known.plan?.version, 2)
})

test('a control host that was followed before sends only what changed since, and no control host sends a known plan', async (context) => {
  const { network, hosts, known } = startFollower(context)
  for (const host of Object.values(hosts)) {
    host.acceptPlan(2, 0)
    for (let number = 0; number < 50; number += 1) host.upstreams.merge(createUpstreamRecord({ id: `i-${number}`, address: `10.0.0.${number}:8080` }))
  }
  await advance(context, 1_200)
  assert.equal(hosts.near.feed.hasRecentReport('entry-1'), true)
  const merge = context.mock.method(known, 'merge')
  network.removeHost('near')
  hosts.far.upstreams.merge(createUpstreamRecord({ id: 'i-7', address: '10.0.0.7:8080', sequence: 9, readiness: UpstreamReadiness.Draining }))
  await advance(context, 2_000)
  const replies = merge.mock.calls.map(({ arguments: [reply] }) => reply)
  assert.deepEqual(replies.flatMap(({ upstreams }) => upstreams.map(({ record }) => record.id)), ['i-7'])
  assert.equal(replies.some(({ plan }) => plan !== undefined), false)
})

test('a follower switches from a control host whose plan is older than the known one', async (context) => {
  const { hosts, known } = startFollower(context)
  hosts.far.acceptPlan(2, 0)
  hosts.near.acceptPlan(2, 0)
  await advance(context, 1_200)
  known.merge(createFollowReply({ plan: createPlan(3) }))
  hosts.far.acceptPlan(3, 2)
  hosts.far.acceptPlan(4, 3)
  await advance(context, 2_500)
  assert.equal(known.plan?.version, 4)
})

test('a change is in force in time when the followed control host and two others become silent together', async (context) => {
  const silent = ['near', 'silent-1', 'silent-2']
  const { network, hosts, known } = startFollower(context, silent.slice(1).map((peerAddress) => ({ peerAddress, domain: 'gijon', region: 'asturias' })))
  await advance(context, 1_200)
  assert.equal(hosts.near.feed.hasRecentReport('entry-1'), true)
  for (const address of silent) network.pauseHost(address)
  hosts.far.acceptPlan(2, 0)
  await advance(context, MAXIMUM_APPLY_MILLISECONDS)
  assert.equal(known.plan?.version, 2)
})

test('a control host is not abandoned for a nearer one that is silent', async (context) => {
  const { network, hosts, known } = startFollower(context)
  network.pauseHost('near')
  await advance(context, 8_000)
  assert.equal(hosts.far.feed.hasRecentReport('entry-1'), true)
  for (let version = 1; version <= 40; version += 1) {
    hosts.far.acceptPlan(version, version - 1)
    await advance(context, 300)
    assert.equal(known.plan?.version, version)
  }
})

// Guards against an entry host that starts right after all control hosts were killed, and serves the older of the plans that they recall.
test('a follower that finds no current control host follows the one with the newest plan', async (context) => {
  pauseClock(context)
  const network = new MemoryNetwork()
  const older = new ControlHostFixture(network, 'older', [])
  const newer = new ControlHostFixture(network, 'newer', [])
  older.acceptPlan(1, 0)
  newer.acceptPlan(2, 0)
  older.isCurrent = false
  newer.isCurrent = false
  const known = new KnownState()
  const follower = createFollower({ seeds: () => ['older', 'newer'], known, callPeer: network.addHost('entry').callPeer })
  follower.run().catch(() => {})
  context.after(() => { follower.stop() })
  await advance(context, 500)
  assert.equal(known.plan?.version, 2)
})

// Guards against an entry host that serves an older plan until a leader is elected, although other control hosts recall a newer one.
test('a follower of a control host that is not current switches to one with a newer plan, while none is current', async (context) => {
  pauseClock(context)
  const network = new MemoryNetwork()
  const older = new ControlHostFixture(network, 'older', [])
  older.acceptPlan(1, 0)
  older.isCurrent = false
  const known = new KnownState()
  const follower = createFollower({ seeds: () => ['older', 'newer'], known, callPeer: network.addHost('entry').callPeer })
  follower.run().catch(() => {})
  context.after(() => { follower.stop() })
  await advance(context, 500)
  assert.equal(known.plan?.version, 1)
  const newer = new ControlHostFixture(network, 'newer', [])
  newer.acceptPlan(2, 0)
  newer.isCurrent = false
  await advance(context, 2_500)
  assert.equal(known.plan?.version, 2)
})
