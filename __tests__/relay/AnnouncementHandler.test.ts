import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { UpstreamState, type Announcement } from '../../src/relay/Announcement.js'
import { AnnouncementHandler } from '../../src/relay/AnnouncementHandler.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'
import { pauseClock } from '../support/pauseClock.js'

const LEASE_MILLISECONDS = 1_000
const INCARNATION = 7

function createHost (name: string) {
  return { name, domain: 'oviedo', region: 'asturias', peerAddress: `${name}:1`, guestAddress: `${name}:2` }
}

function createHandler (context: TestContext, others: string[] = []) {
  pauseClock(context)
  const pools = new PoolRegistry({ queueLength: 10, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
  const hosts = ['oviedo-1', ...others].map(createHost)
  const handler = new AnnouncementHandler({
    self: hosts[0]!, incarnation: INCARNATION, leaseMilliseconds: LEASE_MILLISECONDS, announcementMilliseconds: 250, pools, domainHosts: () => hosts, counters: new Counters(), log: silentLog
  })
  const announce = (overrides: Partial<Announcement> = {}) => handler.handle(createAnnouncement(overrides))
  const find = () => pools.find('inventario')?.upstreams.get('127.0.0.1:9')
  return { handler, announce, find, hosts }
}

const createEcho = (stamp: number) => ({ host: 'oviedo-1', incarnation: INCARNATION, stamp })

test('a grant is valid only after its stamp was echoed, and for one lease counted from that stamp', (context) => {
  const { announce, find } = createHandler(context)
  const first = announce({ sequence: 1 })!
  assert.equal(find()!.isGranted(), false)
  assert.equal(first.nextAnnouncementMilliseconds, 0)
  context.mock.timers.tick(400)
  announce({ sequence: 2, echo: createEcho(first.stamp) })
  assert.equal(find()!.isGranted(), true)
  context.mock.timers.tick(599)
  assert.equal(find()!.isGranted(), true)
  context.mock.timers.tick(1)
  assert.equal(find()!.isGranted(), false, 'a delayed announcement must not lengthen the lease')
})

const UNGRANTED_CASES: Array<{ name: string, announcement: Partial<Announcement> }> = [
  { name: 'the echo of another host', announcement: { echo: { host: 'oviedo-2', incarnation: INCARNATION, stamp: 0 } } },
  { name: 'the echo of a previous incarnation of this host', announcement: { echo: { host: 'oviedo-1', incarnation: INCARNATION - 1, stamp: 0 } } },
  { name: 'a stamp in the future', announcement: { echo: createEcho(99_999) } }
]

for (const { name, announcement } of UNGRANTED_CASES) {
  test(`${name} grants nothing`, (context) => {
    const { announce, find } = createHandler(context)
    announce({ sequence: 1, ...announcement })
    assert.equal(find()!.isGranted(), false)
  })
}

test('a grant is not valid until the grant of the previous owner has ended', (context) => {
  const { announce, find } = createHandler(context)
  announce({ sequence: 1, echo: createEcho(0), heldBy: { host: 'oviedo-2', remainingMilliseconds: 700 } })
  context.mock.timers.tick(699)
  assert.equal(find()!.isGranted(), false)
  context.mock.timers.tick(1)
  assert.equal(find()!.isGranted(), true)
})

test('an announcement that is not newer is refused and changes nothing', (context) => {
  const { announce, find } = createHandler(context)
  announce({ sequence: 5, echo: createEcho(0) })
  assert.equal(announce({ sequence: 5, state: UpstreamState.Leaving }), undefined)
  assert.equal(find()!.state, UpstreamState.Ready)
})

test('a leaving upstream gets no new requests, and its answer reports when no requests are left in flight', (context) => {
  const { announce, find } = createHandler(context)
  announce({ sequence: 1, echo: createEcho(0) })
  context.mock.timers.tick(500)
  find()!.running = 1
  assert.equal(find()!.freeSlots(), 1)
  assert.equal(announce({ sequence: 2, echo: createEcho(400), state: UpstreamState.Leaving })!.drained, false)
  assert.equal(find()!.freeSlots(), 0)
  find()!.running = 0
  assert.equal(announce({ sequence: 3, echo: createEcho(400), state: UpstreamState.Leaving })!.drained, true)
})

test('a running request of a previous owner keeps its slot', (context) => {
  const { announce, find } = createHandler(context)
  announce({ sequence: 1, running: 2, echo: createEcho(0) })
  context.mock.timers.tick(900)
  assert.equal(find()!.freeSlots(), 0)
  announce({ sequence: 2, running: 1, echo: createEcho(500) })
  assert.equal(find()!.freeSlots(), 1)
})

test('when another host of the failure domain becomes the owner, this host releases its grant at once', (context) => {
  const { announce, find, hosts } = createHandler(context)
  announce({ sequence: 1, echo: createEcho(0) })
  hosts.push(createHost('oviedo-2'), createHost('oviedo-3'), createHost('oviedo-4'), createHost('oviedo-5'))
  const answer = announce({ sequence: 2, echo: createEcho(0) })!
  assert.notEqual(answer.owner.name, 'oviedo-1')
  assert.equal(answer.released, true)
  assert.equal(find()!.isGranted(), false)
})

test('an upstream is accepted after two redirects', (context) => {
  const { announce } = createHandler(context, ['oviedo-2', 'oviedo-3', 'oviedo-4', 'oviedo-5'])
  assert.notEqual(announce({ sequence: 1 })!.owner.name, 'oviedo-1')
  assert.equal(announce({ sequence: 2, redirects: 2 })!.owner.name, 'oviedo-1')
})

test('an upstream that was accepted after two redirects stays for five seconds, unless the host stops', (context) => {
  const { announce, find, hosts } = createHandler(context, ['oviedo-2', 'oviedo-3', 'oviedo-4', 'oviedo-5'])
  announce({ sequence: 1, redirects: 2 })
  assert.equal(announce({ sequence: 2, echo: createEcho(0) })!.owner.name, 'oviedo-1')
  assert.equal(find()!.isGranted(), true)
  context.mock.timers.tick(5_000)
  assert.notEqual(announce({ sequence: 3, echo: createEcho(5_000) })!.owner.name, 'oviedo-1')
  announce({ sequence: 4, redirects: 2 })
  hosts.splice(hosts.findIndex(({ name }) => name === 'oviedo-1'), 1)
  const answer = announce({ sequence: 5, echo: createEcho(5_000) })!
  assert.notEqual(answer.owner.name, 'oviedo-1')
  assert.equal(answer.released, true)
})

test('removed upstreams stay listed with the time at which they began to leave, only the last 32 of them', (context) => {
  const { announce, handler } = createHandler(context)
  announce({ sequence: 1, state: UpstreamState.Leaving, echo: createEcho(0) })
  const left = performance.now()
  context.mock.timers.tick(100)
  announce({ sequence: 2, state: UpstreamState.Leaving })
  context.mock.timers.tick(LEASE_MILLISECONDS)
  handler.removeExpired()
  assert.deepEqual(handler.departed.map(({ address, leavingSince }) => [address, leavingSince]), [['127.0.0.1:9', left]])
  for (let identity = 0; identity < 40; identity += 1) announce({ sequence: 1, identity: `other-${identity}` })
  assert.equal(handler.departed.length, 32)
})

test('a new upstream is kept for one lease without a grant, and is removed when its grant has ended', (context) => {
  const { handler, announce, find } = createHandler(context)
  announce({ sequence: 1 })
  const joined = find()
  context.mock.timers.tick(LEASE_MILLISECONDS - 100)
  handler.removeExpired()
  assert.equal(find(), joined)
  announce({ sequence: 2, echo: createEcho(0) })
  assert.equal(find(), joined)
  assert.equal(find()!.isGranted(), true)
  context.mock.timers.tick(100)
  handler.removeExpired()
  assert.equal(find(), undefined)
})
