import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { KnownState } from '../../src/follow/KnownState.js'
import { CrashTable } from '../../src/crashes/CrashTable.js'
import { StateFeed } from '../../src/follow/StateFeed.js'
import { Counters } from '../../src/observe/Counters.js'
import { PlanEntryKind } from '../../src/plan/PlanEntry.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { PlanState } from '../../src/plan/PlanState.js'
import { EntryHostTable } from '../../src/registry/EntryHostTable.js'
import { UpstreamTable } from '../../src/registry/UpstreamTable.js'
import { HostTransport } from '../../src/transport/HostTransport.js'
import { createPlan, createRoute, createSubmission } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { createFollower } from './createFollower.js'
import { Forwarder } from '../scenarios/Forwarder.js'

const CONTROL_ADDRESS = '127.78.0.3:7100'
const LINK_ADDRESS = '127.78.0.4:7100'
const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
/** The slowest link of an entry host in the users' deployments, 1.4 Mbit/s. */
const LINK_BYTES_PER_SECOND = 175_000
/** Routes that one change adds there. */
const ADDED_ROUTE_COUNT = 1_400
/** Upstreams of their largest deployment with such a link. */
const UPSTREAM_COUNT = 374
/** Shortest of the users' limits for the time until a change is in force at hosts with such links. */
const MAXIMUM_APPLY_MILLISECONDS = 2_500

/** Maximum traffic for the change of one route: what the link carries in a hundredth of a second. */
const MAXIMUM_CHANGE_BYTES = LINK_BYTES_PER_SECOND / 100

const createName = (number: number): string => (number * 2_654_435_761 % 2 ** 32).toString(36)

async function startControlAndEntryHost (context: TestContext) {
  const options = { peerKey: 'key', dialAddress: (address: string) => address }
  const control = new HostTransport({ ...options, peerAddress: CONTROL_ADDRESS }, new Counters())
  const plans = new PlanState()
  const upstreams = new UpstreamTable({ lostMilliseconds: 60_000 })
  const feed = new StateFeed({ feed: 'control', plans, upstreams, entryHosts: new EntryHostTable(), crashes: new CrashTable(), isCurrent: () => true, listControlHosts: () => [], registerHandler: control.registerHandler })
  feed.open()
  await control.listener.open()
  const link = new Forwarder(LINK_ADDRESS, CONTROL_ADDRESS)
  link.throttle(LINK_BYTES_PER_SECOND)
  await link.open()
  const entry = new HostTransport({ ...options, peerAddress: '127.78.0.5:7100' }, new Counters())
  const known = new KnownState()
  let abandonments = 0
  const follower = createFollower({ seeds: () => [LINK_ADDRESS], known, callPeer: entry.callPeer, log: { ...silentLog, warn: () => { abandonments += 1 } } })
  context.after(async () => {
    follower.stop()
    link.close()
    await entry.close()
    await control.close()
  })
  return { plans, upstreams, feed, link, known, follower, countAbandonments: () => abandonments }
}

async function waitFor (condition: () => boolean, milliseconds: number): Promise<boolean> {
  const deadline = performance.now() + milliseconds
  while (performance.now() < deadline && !condition()) await new Promise((resolve) => { setTimeout(resolve, 20) })
  return condition()
}

function addUpstreams (upstreams: UpstreamTable): void {
  for (let number = 0; number < UPSTREAM_COUNT; number += 1) {
    upstreams.merge(createUpstreamRecord({ id: `i-${createName(number)}`, address: `10.${number % 9}.0.${number}:8080`, domain: `domain-${number % 9}` }))
  }
}

test('a plan with many routes is in force in time over a slow link, without a switch to another control host', async (context) => {
  const { plans, upstreams, feed, link, known, follower, countAbandonments } = await startControlAndEntryHost(context)
  addUpstreams(upstreams)
  plans.apply({ kind: PlanEntryKind.Submit, submission: createSubmission(1, 0) }, 1)
  follower.run().catch(() => {})
  assert.equal(await waitFor(() => known.plan?.version === 1, 5_000), true)
  const added = Array.from({ length: ADDED_ROUTE_COUNT }, (_, number) => createRoute({ name: `r-${createName(number)}`, host: `${createName(number + 7)}.example`, pathPrefix: `/${createName(number + 5)}/` }))
  const submission = { ...createSubmission(2, 1), plan: createPlan(2, [createRoute(), ...added]) }
  plans.apply({ kind: PlanEntryKind.Submit, submission }, 2)
  feed.notifyChange()
  assert.equal(await waitFor(() => known.plan?.version === 2, MAXIMUM_APPLY_MILLISECONDS), true, `not in force, the control host was abandoned ${countAbandonments()} times`)
  assert.equal(known.plan?.routes.length, ADDED_ROUTE_COUNT + 1)
  assert.equal(countAbandonments(), 0)

  const before = link.bytesToClient.total
  const changed = submission.plan.routes.map((route, index) => index === 700 ? { ...route, mostAttempts: 1 } : route)
  plans.apply({ kind: PlanEntryKind.Submit, submission: { ...createSubmission(3, 2), plan: createPlan(3, changed) } }, 3)
  feed.notifyChange()
  assert.equal(await waitFor(() => known.plan?.version === 3, MAXIMUM_APPLY_MILLISECONDS), true)
  assert.deepEqual([...known.plan!.routes].sort(compareNames), [...changed].sort(compareNames))
  assert.ok(link.bytesToClient.total - before < MAXIMUM_CHANGE_BYTES, `${link.bytesToClient.total - before} bytes for the change of one route`)
})

function compareNames (left: PlanRoute, right: PlanRoute): number {
  return left.name < right.name ? -1 : 1
}
