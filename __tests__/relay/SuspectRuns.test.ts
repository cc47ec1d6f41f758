import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import { SuspectRuns } from '../../src/relay/SuspectRuns.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { rankByRendezvous } from '../../src/utils/rankByRendezvous.js'
import { MemoryNetwork } from '../agreement/support/MemoryNetwork.js'
import { createAnnouncement } from '../support/createAnnouncement.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const NAMES = ['h1', 'h2', 'h3', 'h4', 'h5']
const FINGERPRINTS = ['a1', 'b2', 'c3', 'd4', 'e5']

interface SuspectHost {
  name: string
  poison: PoisonGuard
  pools: PoolRegistry
  suspects: SuspectRuns
}

/** Creates hosts that reach each other over an in-memory network, with a paused clock. */
function connectHosts (context: TestContext): { hosts: SuspectHost[], network: MemoryNetwork, lost: Set<string> } {
  pauseClock(context)
  const network = new MemoryNetwork()
  const lost = new Set<string>()
  const identities = NAMES.map((name) => ({ name, domain: name, region: name, peerAddress: name, guestAddress: name }))
  const hosts = identities.map((self) => {
    const poison = new PoisonGuard()
    const pools = new PoolRegistry({ queueLength: 10, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
    const otherHosts = (): typeof identities => identities.filter((identity) => identity !== self && !lost.has(identity.name))
    const suspects = new SuspectRuns({ poison, pools, self, otherHosts, counters: new Counters(), ...network.addHost(self.name) })
    return { name: self.name, poison, pools, suspects }
  })
  return { hosts, network, lost }
}

/** Begins a run of a suspect at several hosts; the result of each host is added when it is known. */
function beginRuns (hosts: SuspectHost[], fingerprint: string): Map<string, unknown> {
  const results = new Map<string, unknown>()
  for (const { name, suspects } of hosts) suspects.begin(createRelayedRequest(fingerprint, 5_000)).then((result) => { results.set(name, result) }, () => {})
  return results
}

async function beginAndWait (context: TestContext, hosts: SuspectHost[]): Promise<Map<string, unknown>> {
  const results = beginRuns(hosts, 'a1')
  await advance(context, 500)
  return results
}

function listPermits (results: Map<string, unknown>): Array<() => void> {
  return [...results.values()].filter((result): result is () => void => typeof result === 'function')
}

for (const fingerprint of FINGERPRINTS) {
  test(`one copy of suspect ${fingerprint} runs at a time over all hosts, and none after the second loss`, async (context) => {
    const { hosts } = connectHosts(context)
    const [first, second] = hosts as [SuspectHost, SuspectHost]
    first.poison.recordLoss({ fingerprint, lostUpstreams: ['one'] })
    first.suspects.reportLosses([first.poison.describe(fingerprint)]).catch(() => {})
    await advance(context, 100)
    assert.ok(hosts.every(({ poison }) => poison.isSuspect(fingerprint)))
    const results = beginRuns(hosts, fingerprint)
    await advance(context, 500)
    assert.equal(listPermits(results).length, 1)
    second.poison.recordLoss({ fingerprint, lostUpstreams: ['two'] })
    second.suspects.reportLosses([second.poison.describe(fingerprint)]).catch(() => {})
    await advance(context, 500)
    listPermits(results)[0]?.()
    await advance(context, 500)
    assert.deepEqual([...results.values()].filter((result) => result === RefusalReason.Poison).length, hosts.length - 1)
  })
}

test('no suspect runs while a copy that began before the first loss is in flight at another host', async (context) => {
  const { hosts } = connectHosts(context)
  const [first, second] = hosts as [SuspectHost, SuspectHost]
  const upstream = new Upstream(createAnnouncement({ address: 'u:1' }))
  second.pools.ensure('inventario').upstreams.set('u:1', upstream)
  const running = createRelayedRequest('a1', 5_000)
  upstream.inFlight.add(running)
  first.poison.recordLoss({ fingerprint: 'a1', lostUpstreams: ['one'] })
  first.suspects.reportLosses([first.poison.describe('a1')]).catch(() => {})
  await advance(context, 50)
  const results = beginRuns(hosts, 'a1')
  await advance(context, 300)
  assert.equal(listPermits(results).length, 0)
  upstream.inFlight.delete(running)
  second.poison.recordLoss({ fingerprint: 'a1', lostUpstreams: ['two'] })
  await advance(context, 500)
  assert.equal(listPermits(results).length, 0)
  assert.ok([...results.values()].every((result) => result === RefusalReason.Poison))
})

test('a suspect that ran to completion is cleared at every host; a loss that the reporting host did not know stays', async (context) => {
  const { hosts } = connectHosts(context)
  const [first, second, third] = hosts as [SuspectHost, SuspectHost, SuspectHost]
  for (const { poison } of hosts) poison.recordLoss({ fingerprint: 'a1', lostUpstreams: ['one'] })
  third.poison.recordLoss({ fingerprint: 'a1', lostUpstreams: ['two'] })
  const record = first.poison.describe('a1')
  first.poison.recordSuccess('a1')
  first.suspects.reportCleared(record).catch(() => {})
  await advance(context, 100)
  assert.deepEqual([first, second, third].map(({ poison }) => poison.isSuspect('a1')), [false, false, true])
})

test('the permit of a host that died expires', async (context) => {
  const { hosts, network } = connectHosts(context)
  for (const { poison } of hosts) poison.recordLoss({ fingerprint: 'a1', lostUpstreams: ['one'] })
  const [permitHost] = rankByRendezvous('a1', NAMES)
  const [holder, ...others] = hosts.filter(({ name }) => name !== permitHost) as [SuspectHost, ...SuspectHost[]]
  assert.equal(listPermits(await beginAndWait(context, [holder])).length, 1)
  network.removeHost(holder.name)
  assert.equal(listPermits(await beginAndWait(context, others)).length, 0)
  await advance(context, 9_000)
  assert.equal(listPermits(await beginAndWait(context, others)).length, 1)
})

test('when the host that grants the permits is lost, another one grants them', async (context) => {
  const { hosts, network, lost } = connectHosts(context)
  for (const { poison } of hosts) poison.recordLoss({ fingerprint: 'a1', lostUpstreams: ['one'] })
  const [permitHost] = rankByRendezvous('a1', NAMES) as [string]
  network.removeHost(permitHost)
  lost.add(permitHost)
  assert.equal(listPermits(await beginAndWait(context, hosts.filter(({ name }) => name !== permitHost))).length, 1)
})
