import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { gzipSync } from 'node:zlib'
import { SpreadCounter } from '../../src/agreement/spread/SpreadCounter.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { SheetCluster } from './support/SheetCluster.js'
import { SpreadCluster } from './support/SpreadCluster.js'

const SPREAD_LIMIT_MILLISECONDS = 2_000

async function startHosts (context: TestContext, seed: number, hostCount = 16, domainCount = 6): Promise<{ cluster: SheetCluster, spread: SpreadCluster }> {
  const cluster = await SheetCluster.start(context, seed)
  const spread = new SpreadCluster(cluster, hostCount, domainCount)
  await cluster.waitFor(Promise.all(spread.hosts.map(({ whenStarted }) => whenStarted)))
  return { cluster, spread }
}

test('an accepted sheet is in force on 16 hosts within two seconds, with 55 ms between hosts', async (context) => {
  for (const seed of [1, 2, 3]) {
    context.mock.timers.reset()
    context.mock.restoreAll()
    const { cluster, spread } = await startHosts(context, seed)
    cluster.network.delayMilliseconds = 55
    await cluster.waitFor(cluster.submit(cluster.getHost(seed), 1))
    await cluster.advanceUntil(() => spread.isInForce(1), 'not in force', SPREAD_LIMIT_MILLISECONDS)
    for (const { appliedRevisions } of spread.hosts) assert.deepEqual(appliedRevisions, [1])
  }
})

const faults = [
  { name: 'the nearest replica is lost', break: (cluster: SheetCluster) => { cluster.kill(cluster.getHost(0)) }, exempt: [0] },
  { name: 'two replicas are lost at once', break: (cluster: SheetCluster) => { cluster.kill(cluster.getHost(0)); cluster.kill(cluster.getHost(1)) }, exempt: [0, 1] },
  {
    name: 'the nearest replica is disconnected from the other replicas only',
    break: (cluster: SheetCluster) => { cluster.network.split([cluster.getHost(0).address], cluster.listAddresses().slice(1)) },
    exempt: []
  }
]

for (const { name, break: breakHosts, exempt } of faults) {
  test(`a sheet is in force within two seconds of its acceptance although ${name}`, async (context) => {
    const { cluster, spread } = await startHosts(context, 4)
    breakHosts(cluster)
    await cluster.advance(5_000)
    for (const number of exempt) spread.getHost(number).spreader.stop()
    await cluster.waitFor(cluster.submit(await cluster.waitForLeader(), 1))
    const expected = spread.hosts.filter((_, number) => !exempt.includes(number))
    await cluster.advanceUntil(() => spread.isInForce(1, expected), 'not in force', SPREAD_LIMIT_MILLISECONDS)
  })
}

test('a disconnected failure domain keeps its sheet, and has the newest within two seconds of being connected again', async (context) => {
  const { cluster, spread } = await startHosts(context, 5)
  await cluster.waitFor(cluster.submit(await cluster.waitForLeader(), 1))
  await cluster.advanceUntil(() => spread.isInForce(1), 'first sheet')
  const disconnectedAddresses = spread.listDomainAddresses(['domain-5'])
  const otherAddresses = spread.hosts.map(({ identity }) => identity.peerAddress).filter((address) => !disconnectedAddresses.includes(address))
  cluster.network.split(disconnectedAddresses, otherAddresses)
  await cluster.submitMany(await cluster.waitForLeader(), 2, 30)
  await cluster.advance(20_000)
  assert.equal(spread.getHost(5).spreader.current()?.number, 1)
  cluster.network.heal()
  await cluster.advanceUntil(() => spread.isInForce(30), 'not caught up', SPREAD_LIMIT_MILLISECONDS)
  for (const { appliedRevisions } of spread.hosts) assert.deepEqual(appliedRevisions, [...appliedRevisions].sort((left, right) => left - right))
})

const restarts = [
  { name: 'the replicas and its domain', cutReplicas: false, cutDomain: false, expected: 3 },
  { name: 'only its domain', cutReplicas: true, cutDomain: false, expected: 3 },
  { name: 'no other host', cutReplicas: true, cutDomain: true, expected: undefined }
]

for (const { name, cutReplicas, cutDomain, expected } of restarts) {
  test(`a host without disk that reaches ${name} is ready with sheet ${expected ?? 'none'}`, async (context) => {
    const { cluster, spread } = await startHosts(context, 6)
    await cluster.submitMany(await cluster.waitForLeader(), 1, 3)
    await cluster.advanceUntil(() => spread.isInForce(3), 'in force')
    spread.stopHost(15)
    const hostAddresses = [spread.getHost(15).identity.peerAddress]
    const domainAddresses = spread.listDomainAddresses(['domain-3']).filter((address) => address !== hostAddresses[0] && !cluster.listAddresses().includes(address))
    const others = spread.hosts.map(({ identity }) => identity.peerAddress).filter((address) => !domainAddresses.includes(address) && address !== hostAddresses[0])
    if (cutReplicas) cluster.network.split(hostAddresses, others)
    if (cutDomain) cluster.network.split(hostAddresses, domainAddresses)
    await cluster.waitFor(spread.startHost(15).whenStarted, 7_000)
    assert.equal(spread.getHost(15).spreader.current()?.number, expected)
  })
}

test('a host with a disk that restarts while disconnected has its last sheet at once', async (context) => {
  const { cluster, spread } = await startHosts(context, 7)
  spread.stopHost(15)
  const { files } = spread.startHost(15, undefined, true)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
  await cluster.advanceUntil(() => spread.isInForce(2), 'in force')
  spread.stopHost(15)
  cluster.network.split([spread.getHost(15).identity.peerAddress], spread.hosts.slice(0, 15).map(({ identity }) => identity.peerAddress))
  const restarted = spread.startHost(15, files.createSurvivor(), true)
  await cluster.advance(50)
  assert.equal(restarted.spreader.current()?.number, 2)
})

test('a sheet whose content does not have its digest is refused, and fetched from another host', async (context) => {
  const { cluster, spread } = await startHosts(context, 8)
  cluster.getHost(0).registerHandler(PeerMethod.FetchSheet, () => ({
    sheet: { number: 1, digest: 'f'.repeat(64), revision: 1, acceptedAt: 0 }, data: 'H4sIAAAAAAAAAwMAAAAAAAAAAAA=', totalCharacters: 28
  }))
  await cluster.waitFor(cluster.submit(await cluster.waitForLeader(), 1))
  await cluster.advanceUntil(() => spread.isInForce(1), 'in force', SPREAD_LIMIT_MILLISECONDS)
  assert.ok(spread.hosts.some(({ counters }) => counters.read(SpreadCounter.DigestMismatch) > 0))
})

test('a lower revision never replaces a higher one', async (context) => {
  const { cluster, spread } = await startHosts(context, 9)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
  await cluster.advanceUntil(() => spread.isInForce(2), 'in force')
  await spread.getHost(9).spreader.offer({ number: 1, digest: 'a', revision: 1, acceptedAt: 0, content: 'sheet 1' })
  assert.equal(spread.getHost(9).spreader.current()?.number, 2)
})

test('a host that reports a high revision and sends a low one changes nothing, and is not asked in a tight loop', async (context) => {
  const { cluster, spread } = await startHosts(context, 11)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
  await cluster.advanceUntil(() => spread.isInForce(2), 'in force')
  const { registerHandler, address, registry } = cluster.getHost(0)
  const [first] = registry.history()
  const packed = gzipSync('sheet 1').toString('base64')
  registerHandler(PeerMethod.SheetRevision, () => ({ revision: 99, number: 99, upToDate: true }))
  registerHandler(PeerMethod.FetchSheet, () => ({ sheet: first, data: packed, totalCharacters: packed.length }))
  cluster.network.callsByReceiver.clear()
  await cluster.advance(10_000)
  assert.ok(spread.isInForce(2))
  for (const { appliedRevisions } of spread.hosts) assert.deepEqual(appliedRevisions, [...appliedRevisions].sort((left, right) => left - right))
  const calls = cluster.network.callsByReceiver.get(address) ?? 0
  assert.ok(calls < 1_500, `${calls} calls`)
})

test('in 440 hosts of 44 failure domains, only two of each watch a replica', async (context) => {
  const { cluster, spread } = await startHosts(context, 10, 440, 44)
  await cluster.advance(3_000)
  cluster.network.callsByReceiver.clear()
  await cluster.waitFor(cluster.submit(await cluster.waitForLeader(), 1))
  await cluster.advanceUntil(() => spread.isInForce(1), 'in force', SPREAD_LIMIT_MILLISECONDS)
  const fetches = cluster.network.callsByMethod.get(PeerMethod.FetchSheet) ?? 0
  assert.ok(fetches < 3 * 440, `${fetches} fetches`)
  const watches = spread.hosts.slice(0, 5).reduce((total, { identity }) => total + (cluster.network.callsByReceiver.get(identity.peerAddress) ?? 0), 0)
  assert.ok(watches < 1_000, `${watches} calls to the replicas`)
})
