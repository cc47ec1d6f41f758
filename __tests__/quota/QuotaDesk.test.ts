import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import type { GuestAccount } from '../../src/plan/RoutingPlan.js'
import { DEFAULT_QUOTA_BOUNDS } from '../../src/quota/QuotaBounds.js'
import { QuotaDesk } from '../../src/quota/QuotaDesk.js'
import type { QuotaGrant, QuotaReply, QuotaRow } from '../../src/quota/QuotaMessages.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { MemoryNetwork } from '../membership/MemoryNetwork.js'
import { createAccount } from '../plan/createPlan.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const LIMITED = createAccount({ name: 'limited', requestsPerSecond: 10, burst: 10 })
const UNLIMITED = createAccount({ name: 'unlimited' })
const CALL_TIMEOUT_MILLISECONDS = 300

interface Fixture {
  desks: QuotaDesk[]
  network: MemoryNetwork
  counters: Counters
  events: string[]
  ask: (...row: QuotaRow) => Promise<QuotaGrant | null>
}

/** Opens one control host in each domain, and some further ones in the first domain; calls go to the first. */
function openDesks (context: TestContext, domains: string[], furtherAddresses: string[] = []): Fixture {
  pauseClock(context)
  const network = new MemoryNetwork()
  const counters = new Counters()
  const events: string[] = []
  const record = (event: string): void => { events.push(event) }
  const hosts = [...domains.map((domain) => ({ peerAddress: domain, domain, region: 'asturias' })), ...furtherAddresses.map((peerAddress) => ({ peerAddress, domain: domains[0]!, region: 'asturias' }))]
  const desks = hosts.map((self) => new QuotaDesk({
    domain: self.domain,
    listDomains: () => domains,
    listControlHosts: () => [self, ...hosts.filter((host) => host !== self)],
    bounds: () => DEFAULT_QUOTA_BOUNDS,
    callPeer: network.callPeer(self.peerAddress),
    registerHandler: network.registerHandler(self.peerAddress),
    counters,
    log: { info: record, warn: record, error: record }
  }))
  context.after(() => { for (const desk of desks) desk.stop().catch(() => {}) })
  const callPeer = network.callPeer('entry')
  const ask = async (...row: QuotaRow): Promise<QuotaGrant | null> => {
    const reply = callPeer<QuotaReply>(domains[0]!, PeerMethod.TakeQuota, { client: 'entry', rows: [row] }, CALL_TIMEOUT_MILLISECONDS)
    await advance(context, 10, 1)
    return (await reply).grants[0]!
  }
  return { desks, network, counters, events, ask }
}

function setAccounts (desks: QuotaDesk[], accounts: GuestAccount[] | undefined): void {
  for (const desk of desks) desk.setAccounts(accounts)
}

// Guards against messages and timers in deployments that have no quotas.
test('without an account with a limit nothing is sent, also after the last limit was removed', async (context) => {
  const { desks, network, events } = openDesks(context, ['a', 'b', 'c'])
  const listBytes = (): Array<number | undefined> => ['a', 'b', 'c'].map((name) => network.sentBytes.get(name))
  setAccounts(desks, undefined)
  await advance(context, 5_000)
  setAccounts(desks, [UNLIMITED])
  await advance(context, 5_000)
  assert.deepEqual(listBytes(), [undefined, undefined, undefined])
  setAccounts(desks, [LIMITED])
  await advance(context, 5_000)
  assert.ok(listBytes().every((bytes) => (bytes ?? 0) > 0))
  setAccounts(desks, [UNLIMITED])
  await advance(context, 1_000)
  const bytes = listBytes()
  await advance(context, 5_000)
  assert.deepEqual(listBytes(), bytes)
  assert.ok(!events.includes('quota-suspended'))
})

// Guards against a control host that has no plan yet and grants, or refuses, in ignorance.
test('an account that the plan does not have is answered as unknown, and one without a limit gets what it asks for', async (context) => {
  const { desks, ask } = openDesks(context, ['a'])
  assert.equal(await ask('limited', 1, 0, 0, 1), null)
  setAccounts(desks, [LIMITED, UNLIMITED])
  assert.equal(await ask('other', 1, 0, 0, 1), null)
  assert.deepEqual(await ask('unlimited', 500, 0, 0, 500), [500, 0])
})

// Guards against a restarted control host that grants a burst which its predecessor has just granted.
test('a control host begins with one request, and says truthfully when there are more', async (context) => {
  const { desks, ask } = openDesks(context, ['a'])
  setAccounts(desks, [LIMITED])
  const [granted, waitMilliseconds] = (await ask('limited', 5, 0, 0, 5))!
  assert.equal(granted, 1)
  assert.ok(waitMilliseconds > 50 && waitMilliseconds <= 100, `${waitMilliseconds}`)
  await advance(context, waitMilliseconds)
  assert.equal((await ask('limited', 1, 0, 0, 1))?.[0], 1)
  await advance(context, 10_000)
  assert.equal((await ask('limited', 100, 0, 0, 100))?.[0], LIMITED.burst + 16, 'burst, and four fifths of the allowance')
})

// Guards against a suspended control host that spends leases which others have got meanwhile.
test('after a suspension of its machine a control host begins anew', async (context) => {
  const { desks, ask, counters } = openDesks(context, ['a', 'b', 'c'])
  setAccounts(desks, [LIMITED])
  await advance(context, 10_000)
  const running = performance.now
  context.mock.timers.setTime(Date.now() + 20_000)
  performance.now = () => running() - 20_000
  assert.equal((await ask('limited', 100, 0, 0, 100))?.[0], 1)
  assert.ok(counters.read('quota.suspended') > 0)
})

// Guards against two control hosts of one failure domain that each grant its part.
test('of two control hosts in one failure domain only one grants tokens', async (context) => {
  const { desks, network, ask, events } = openDesks(context, ['a', 'b', 'c'], ['a-2'])
  setAccounts(desks, [LIMITED])
  await advance(context, 10_000)
  assert.ok((await ask('limited', 100, 0, 0, 100))![0] > 0)
  const reply = network.callPeer('entry')<QuotaReply>('a-2', PeerMethod.TakeQuota, { client: 'entry', rows: [['limited', 100, 0, 0, 100]] }, CALL_TIMEOUT_MILLISECONDS)
  await advance(context, 10, 1)
  assert.deepEqual(await reply, { grants: [null] })
  assert.equal(events.filter((event) => event === 'lease-holder-elected').length, 1)
})

// Guards against tokens that many entry hosts hold in advance and use in one window on top of the quota.
test('tokens in advance stay within half of the overage', async (context) => {
  const { desks, network } = openDesks(context, ['a'])
  setAccounts(desks, [{ ...LIMITED, requestsPerSecond: 100, burst: 100 }])
  await advance(context, 5_000)
  let granted = 0
  for (let host = 0; host < 20; host += 1) {
    const reply = network.callPeer('entry')<QuotaReply>('a', PeerMethod.TakeQuota, { client: `entry-${host}`, rows: [['limited', 0, 10, 0, 0]] }, CALL_TIMEOUT_MILLISECONDS)
    await advance(context, 10, 1)
    granted += (await reply).grants[0]![0]
  }
  assert.equal(granted, DEFAULT_QUOTA_BOUNDS.overage / 2 * 100 * 5)
})
