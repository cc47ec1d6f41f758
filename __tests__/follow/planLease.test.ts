import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { KnownState } from '../../src/follow/KnownState.js'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { SuspensionDetector } from '../../src/utils/SuspensionDetector.js'
import { createPlan } from '../plan/createPlan.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { createFollower } from './createFollower.js'
import { createFollowReply } from './createFollowReply.js'

const REVOCATION_MILLISECONDS = 5_000
const REPLY_MILLISECONDS = 100

/** Follows a control host whose replies come 100 ms after each request. */
async function follow (context: TestContext, describe: () => FollowReply | undefined): Promise<KnownState> {
  pauseClock(context)
  const known = new KnownState()
  const callPeer = (async (_address: string, method: PeerMethod) => {
    await new Promise((resolve) => { setTimeout(resolve, REPLY_MILLISECONDS) })
    const reply = describe()
    if (reply === undefined) throw new Error('silent')
    return method === PeerMethod.AskCurrency ? { isCurrent: reply.isCurrent, planVersion: reply.position.planVersion } : reply
  }) as CallPeer
  const follower = createFollower({ seeds: () => ['127.0.0.1:1'], known, callPeer })
  follower.run().catch(() => {})
  context.after(() => { follower.stop() })
  return known
}

function createReply (version: number, overrides: Partial<FollowReply> = {}): FollowReply {
  return createFollowReply({ plan: createPlan(version), position: { feed: 'f', revision: 1, crashRevision: 0, planVersion: version, evacuationRevision: 0 }, ...overrides })
}

// Guards against a host that serves withdrawn keys for longer than the revocation time after its last contact.
test('the lease of a plan ends before the revocation time has passed since the last current reply', async (context) => {
  let isSilent = false
  const known = await follow(context, () => isSilent ? undefined : createReply(1))
  await advance(context, 1_000)
  assert.equal(known.planLease.isValid(REVOCATION_MILLISECONDS), true)
  isSilent = true
  await advance(context, 3_000)
  assert.equal(known.planLease.isValid(REVOCATION_MILLISECONDS), true, 'guests are served while the loss of contact is short')
  await advance(context, 1_500)
  assert.equal(known.planLease.isValid(REVOCATION_MILLISECONDS), false)
  assert.equal(known.planLease.isValid(undefined), true, 'without the guarantee there is no lease')
})

// Guards against a lease from a control host that may not know of the newest plan.
test('a control host that is not current, or whose newest plan did not arrive, gives no lease', async (context) => {
  let reply = createReply(1, { isCurrent: false })
  const known = await follow(context, () => reply)
  await advance(context, 2_000)
  assert.equal(known.plan?.version, 1)
  assert.equal(known.planLease.isValid(REVOCATION_MILLISECONDS), false)
  reply = createReply(2, { plan: undefined, planDelta: undefined })
  await advance(context, 2_000)
  assert.equal(known.planLease.isValid(REVOCATION_MILLISECONDS), false)
  reply = createReply(2)
  await advance(context, 1_000)
  assert.equal(known.planLease.isValid(REVOCATION_MILLISECONDS), true)
})

// Guards against a suspended host that wakes with an old plan and counts by a clock that stood still.
test('a suspension ends the lease, and is detected', async (context) => {
  let isSilent = false
  const known = await follow(context, () => isSilent ? undefined : createReply(1))
  await advance(context, 1_000)
  const detector = new SuspensionDetector()
  assert.equal(detector.millisecondsSinceResume, Number.POSITIVE_INFINITY)
  isSilent = true
  const readMonotonic = performance.now
  const stoppedAt = performance.now()
  performance.now = () => stoppedAt
  await advance(context, 6_000)
  const wallAtResume = Date.now()
  performance.now = () => stoppedAt + Date.now() - wallAtResume
  context.after(() => { performance.now = readMonotonic })
  assert.equal(known.planLease.isValid(REVOCATION_MILLISECONDS), false)
  assert.equal(detector.millisecondsSinceResume, 0)
  context.mock.timers.tick(100)
  assert.equal(detector.millisecondsSinceResume, 100)
})
