import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { EntryHostTable } from '../../src/registry/EntryHostTable.js'
import { RegistryOrigin } from '../../src/registry/RegistryMessages.js'
import { RegistrySharer } from '../../src/registry/RegistrySharer.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { AnnouncementResult, UpstreamRegistry } from '../../src/registry/UpstreamRegistry.js'
import { UpstreamTable } from '../../src/registry/UpstreamTable.js'
import { MemoryNetwork } from '../agreement/support/MemoryNetwork.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { createUpstreamRecord } from './createUpstreamRecord.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
const addresses = ['a', 'b', 'c', 'd', 'e']

/** Five control hosts, each with a registry, on a paused clock; the named ones are voters of the replica group, or in another region. */
function startControlHosts (context: TestContext, voters = addresses, remote: string[] = []) {
  pauseClock(context)
  const network = new MemoryNetwork()
  const hosts = addresses.map((address) => {
    const { callPeer, registerHandler } = network.addHost(address)
    const upstreams = new UpstreamTable({ lostMilliseconds: 4_500 })
    const others = addresses.filter((other) => other !== address)
    const entryHosts = new EntryHostTable()
    const disk = { isStalled: false, persisted: [] as string[] }
    const sharer = new RegistrySharer({
      upstreams,
      entryHosts,
      callPeer,
      registerHandler,
      listPeers: () => others,
      listVoters: () => voters.filter((voter) => voter !== address),
      isRemote: (other) => remote.includes(other) !== remote.includes(address),
      isVoter: () => voters.includes(address),
      majoritySize: () => Math.floor(voters.length / 2) + 1,
      persist: async () => {
        if (disk.isStalled) await new Promise(() => {})
        disk.persisted = upstreams.list().map(({ record }) => `${record.id} ${record.readiness}`)
      },
      firstOrigin: () => RegistryOrigin.Restored,
      hasLocalReport: () => true,
      describeSelf: () => ({ peerAddress: address, domain: address, region: 'r' }),
      onControlHost: () => {},
      onChange: () => {},
      log: silentLog
    })
    const registry = new UpstreamRegistry({ upstreams, sharer, isKnownService: () => true, onChange: () => {}, log: silentLog })
    return { upstreams, entryHosts, sharer, registry, disk }
  })
  return { network, hosts }
}

test('the drain of an upstream is acknowledged once a majority of control hosts holds it', async (context) => {
  const { network, hosts } = startControlHosts(context)
  network.removeHost('d')
  network.removeHost('e')
  const announced = hosts[0]!.registry.announce(createUpstreamRecord({ readiness: UpstreamReadiness.Draining }))
  await advance(context, 100)
  assert.equal(await announced, AnnouncementResult.Accepted)
  for (const host of hosts.slice(0, 3)) assert.equal(host.upstreams.get('i-1')?.record.readiness, UpstreamReadiness.Draining)
})

// Guards against an acknowledged departure that is forgotten when all control hosts are killed.
test('a departure is acknowledged only once it is durable at a majority of control hosts', async (context) => {
  const { hosts } = startControlHosts(context)
  for (const { disk } of hosts.slice(2)) disk.isStalled = true
  const refused = hosts[0]!.registry.remove('i-1', 1_000)
  await advance(context, 2_000)
  assert.equal(await refused, AnnouncementResult.NotHeld)
  hosts[2]!.disk.isStalled = false
  const accepted = hosts[0]!.registry.remove('i-1', 1_000)
  await advance(context, 2_000)
  assert.equal(await accepted, AnnouncementResult.Accepted)
  for (const { disk } of hosts.slice(0, 3)) assert.deepEqual(disk.persisted, ['i-1 gone'])
})

// Guards against a host whose own disk is stuck, and that counts itself among the majority all the same.
test('a control host whose own disk is stuck acknowledges a drain once the disks of a majority hold it', async (context) => {
  const { network, hosts } = startControlHosts(context)
  hosts[0]!.disk.isStalled = true
  network.removeHost('e')
  const accepted = hosts[0]!.registry.announce(createUpstreamRecord({ readiness: UpstreamReadiness.Draining }))
  await advance(context, 100)
  assert.equal(await accepted, AnnouncementResult.Accepted)
  network.removeHost('d')
  const refused = hosts[0]!.registry.announce(createUpstreamRecord({ sequence: 2, readiness: UpstreamReadiness.Draining }))
  await advance(context, 2_000)
  assert.equal(await refused, AnnouncementResult.NotHeld)
})

test('a host that starts has merged the registries of a majority, even when the others start later', async (context) => {
  const { network, hosts } = startControlHosts(context)
  for (const host of hosts.slice(0, 3)) host.upstreams.merge(createUpstreamRecord({ readiness: UpstreamReadiness.Gone }))
  for (const address of ['a', 'b', 'c']) network.pauseHost(address)
  const fetched = hosts[3]!.sharer.fetchFromPeers()
  await advance(context, 300)
  for (const address of ['a', 'b', 'c']) network.resumeHost(address)
  await advance(context, 100)
  await fetched
  assert.equal(hosts[3]!.upstreams.get('i-1')?.record.readiness, UpstreamReadiness.Gone)
  hosts[3]!.sharer.stop()
})

// Guards against a departure that a cut-off host never hears of, because the host that was to tell it was started again.
test('a host that starts tells the others of the departures that it restored', async (context) => {
  const { network, hosts } = startControlHosts(context)
  hosts[1]!.upstreams.merge(createUpstreamRecord())
  hosts[0]!.upstreams.restore([createUpstreamRecord({ readiness: UpstreamReadiness.Gone })], 0)
  network.cut('a', 'b')
  const fetched = hosts[0]!.sharer.fetchFromPeers()
  await advance(context, 1_600)
  await fetched
  hosts[0]!.sharer.run().catch(() => {})
  await advance(context, 2_000)
  network.heal()
  await advance(context, 2_000)
  assert.equal(hosts[1]!.upstreams.get('i-1')?.record.readiness, UpstreamReadiness.Gone)
  hosts[0]!.sharer.stop()
})

test('without a majority a drain is not acknowledged, not even when it is announced again', async (context) => {
  const { network, hosts } = startControlHosts(context)
  for (const address of ['c', 'd', 'e']) network.removeHost(address)
  for (let sequence = 1; sequence <= 2; sequence += 1) {
    const announced = hosts[0]!.registry.announce(createUpstreamRecord({ sequence, readiness: UpstreamReadiness.Draining }))
    await advance(context, 2_000)
    assert.equal(await announced, AnnouncementResult.NotHeld)
  }
})

test('a control host that does not vote does not count towards the majority that holds a drain', async (context) => {
  const { network, hosts } = startControlHosts(context, ['a', 'b', 'c'])
  for (const address of ['b', 'c']) network.removeHost(address)
  const announced = hosts[4]!.registry.announce(createUpstreamRecord({ readiness: UpstreamReadiness.Draining }))
  await advance(context, 2_000)
  assert.equal(await announced, AnnouncementResult.NotHeld)
})

test('a control host outside of any group acknowledges no drain and no departure', async (context) => {
  const { hosts } = startControlHosts(context, [])
  const announced = hosts[0]!.registry.announce(createUpstreamRecord({ readiness: UpstreamReadiness.Draining }))
  const removed = hosts[0]!.registry.remove('i-1', 1_000)
  await advance(context, 2_000)
  assert.deepEqual([await announced, await removed], [AnnouncementResult.NotHeld, AnnouncementResult.NotHeld])
})

test('a lone control host that is the whole group acknowledges a drain by itself', async (context) => {
  const { hosts } = startControlHosts(context, ['a'])
  assert.equal(await hosts[0]!.registry.announce(createUpstreamRecord({ readiness: UpstreamReadiness.Draining })), AnnouncementResult.Accepted)
})

test('a departure reaches hosts that do not know the upstream, and a late announcement does not undo it', async (context) => {
  const { hosts } = startControlHosts(context)
  const removed = hosts[1]!.registry.remove('i-1', 1_000)
  await advance(context, 100)
  assert.equal(await removed, AnnouncementResult.Accepted)
  await hosts[4]!.registry.announce(createUpstreamRecord())
  assert.equal(hosts[4]!.upstreams.get('i-1')?.record.readiness, UpstreamReadiness.Gone)
})

test('the departure of an upstream whose start time is unknown is not acknowledged', async (context) => {
  const { hosts } = startControlHosts(context)
  assert.equal(await hosts[0]!.registry.remove('i-7', undefined), AnnouncementResult.NotHeld)
})

test('a host that starts merges the registries of the others', async (context) => {
  const { hosts } = startControlHosts(context)
  hosts[0]!.upstreams.merge(createUpstreamRecord())
  const fetched = hosts[3]!.sharer.fetchFromPeers()
  await advance(context, 1_100)
  await fetched
  assert.equal(hosts[3]!.upstreams.get('i-1')?.record.sequence, 1)
})

/** Announces an upstream to the first host as often as upstreams do, and sweeps all tables as the hosts do. */
async function renewUpstream (context: TestContext, hosts: ReturnType<typeof startControlHosts>['hosts'], milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 1_500) {
    await hosts[0]!.registry.announce(createUpstreamRecord({ sequence: 100 + Math.round(performance.now()) }))
    await advance(context, 1_500, 50)
  }
}

test('control hosts of another region get one message a second, those of the same region two', async (context) => {
  const { network, hosts } = startControlHosts(context, addresses, ['d', 'e'])
  const reporting = setInterval(() => { hosts[0]!.entryHosts.recordReport({ name: 'entry-1', domain: 'a', region: 'r', guestAddress: '127.0.0.9:7144', isReady: true, demand: {} }) }, 100)
  hosts[0]!.sharer.run().catch(() => {})
  await advance(context, 2_000, 50)
  network.callsByReceiver.clear()
  await advance(context, 6_000, 50)
  hosts[0]!.sharer.stop()
  clearInterval(reporting)
  assert.equal(network.callsByReceiver.get('b'), 12)
  assert.equal(network.callsByReceiver.get('d'), 6)
})

test('an upstream that announces itself is never lost in another region, even when a message is, and a silent one is lost in the same time', async (context) => {
  const { network, hosts } = startControlHosts(context, addresses, ['d', 'e'])
  for (const { sharer } of hosts) sharer.run().catch(() => {})
  await renewUpstream(context, hosts, 6_000)
  for (const receiver of ['d', 'e']) network.cut('a', receiver)
  await advance(context, 1_000, 50)
  network.heal()
  await renewUpstream(context, hosts, 6_000)
  for (const { upstreams } of hosts) assert.equal(upstreams.get('i-1')!.isLost, false)
  const silentSince = performance.now() - 1_500
  while (!hosts.every(({ upstreams }) => upstreams.get('i-1')!.isLost)) await advance(context, 50, 50)
  hosts.forEach(({ sharer }) => { sharer.stop() })
  assert.ok(performance.now() - silentSince <= 5_100, `${performance.now() - silentSince} ms`)
})
