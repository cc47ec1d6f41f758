import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { KnownState } from '../../src/follow/KnownState.js'
import { LossTable } from '../../src/follow/LossTable.js'
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

/** The users' shortest bound on putting a change in force at hosts of a large deployment. */
const MAXIMUM_APPLY_MILLISECONDS = 2_500
const controlHosts = [{ peerAddress: 'far', domain: 'bilbao', region: 'euskadi' }, { peerAddress: 'near', domain: 'oviedo', region: 'asturias' }]

/** A control host's feed. */
class ControlHostFixture {
  readonly plans = new PlanState()
  readonly upstreams = new UpstreamTable({ lostMilliseconds: 4_500 })
  readonly entryHosts = new EntryHostTable()
  isCurrent = true
  readonly feed: StateFeed

  constructor (network: MemoryNetwork, name: string, others: ControlHost[]) {
    const { registerHandler } = network.addHost(name)
    const { plans, upstreams, entryHosts } = this
    this.feed = new StateFeed({ feed: name, plans, upstreams, entryHosts, losses: new LossTable(), isCurrent: () => this.isCurrent, listControlHosts: () => [...controlHosts, ...others], registerHandler })
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
  const feeds = { far: new ControlHostFixture(network, 'far', others), near: new ControlHostFixture(network, 'near', others) }
  const known = new KnownState()
  const follower = createFollower({ seeds: () => ['far'], known, callPeer: network.addHost('entry').callPeer })
  follower.run().catch(() => {})
  context.after(() => { follower.stop() })
  return { network, feeds, known, follower }
}

test('a follower moves to a near control host, and hears a change as soon as it is made', async (context) => {
  const { feeds, known } = startFollower(context)
  await advance(context, 1_200)
  assert.equal(feeds.near.feed.hasRecentReport('entry-1'), true)
  feeds.near.acceptPlan(2, 0)
  feeds.near.upstreams.merge(createUpstreamRecord())
  feeds.near.feed.notifyChange()
  await advance(context, 100)
  assert.equal(known.plan?.version, 2)
  assert.equal(known.listReady('inventario').length, 1)
  assert.deepEqual(feeds.near.entryHosts.choose('oviedo', 'asturias'), ['127.0.0.1:1'])
})

test('a control host that is cut off is left for another within two seconds', async (context) => {
  const { network, feeds, known } = startFollower(context)
  await advance(context, 1_200)
  network.removeHost('near')
  feeds.far.acceptPlan(2, 0)
  await advance(context, 2_000)
  assert.equal(known.plan?.version, 2)
})

test('a control host that hears no leader is left for one that does', async (context) => {
  const { feeds, known } = startFollower(context)
  await advance(context, 1_200)
  feeds.near.isCurrent = false
  feeds.far.acceptPlan(2, 0)
  await advance(context, 2_500)
  assert.equal(known.plan?.version, 2)
})

test('a control host that was followed before tells only what changed since, and a plan that is known comes from none', async (context) => {
  const { network, feeds, known } = startFollower(context)
  for (const feed of Object.values(feeds)) {
    feed.acceptPlan(2, 0)
    for (let number = 0; number < 50; number += 1) feed.upstreams.merge(createUpstreamRecord({ id: `i-${number}`, address: `10.0.0.${number}:8080` }))
  }
  await advance(context, 1_200)
  assert.equal(feeds.near.feed.hasRecentReport('entry-1'), true)
  const merge = context.mock.method(known, 'merge')
  network.removeHost('near')
  feeds.far.upstreams.merge(createUpstreamRecord({ id: 'i-7', address: '10.0.0.7:8080', sequence: 9, readiness: UpstreamReadiness.Draining }))
  await advance(context, 2_000)
  const replies = merge.mock.calls.map(({ arguments: [reply] }) => reply)
  assert.deepEqual(replies.flatMap(({ upstreams }) => upstreams.map(({ record }) => record.id)), ['i-7'])
  assert.equal(replies.some(({ plan }) => plan !== undefined), false)
})

test('a control host whose plan is older than the known one is left for another', async (context) => {
  const { feeds, known } = startFollower(context)
  feeds.far.acceptPlan(2, 0)
  feeds.near.acceptPlan(2, 0)
  await advance(context, 1_200)
  known.merge(createFollowReply({ plan: createPlan(3) }))
  feeds.far.acceptPlan(3, 2)
  feeds.far.acceptPlan(4, 3)
  await advance(context, 2_500)
  assert.equal(known.plan?.version, 4)
})

test('a change is in force in time when the control host that was followed and two others fall silent together', async (context) => {
  const silent = ['near', 'silent-1', 'silent-2']
  const { network, feeds, known } = startFollower(context, silent.slice(1).map((peerAddress) => ({ peerAddress, domain: 'gijon', region: 'asturias' })))
  await advance(context, 1_200)
  assert.equal(feeds.near.feed.hasRecentReport('entry-1'), true)
  for (const address of silent) network.pauseHost(address)
  feeds.far.acceptPlan(2, 0)
  await advance(context, MAXIMUM_APPLY_MILLISECONDS)
  assert.equal(known.plan?.version, 2)
})

test('a control host is not given up for a nearer one that is silent', async (context) => {
  const { network, feeds, known } = startFollower(context)
  network.pauseHost('near')
  await advance(context, 8_000)
  assert.equal(feeds.far.feed.hasRecentReport('entry-1'), true)
  for (let version = 1; version <= 40; version += 1) {
    feeds.far.acceptPlan(version, version - 1)
    await advance(context, 300)
    assert.equal(known.plan?.version, version)
  }
})
