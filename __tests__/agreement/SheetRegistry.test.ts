import assert from 'node:assert/strict'
import { test } from 'node:test'
import { gzipSync } from 'node:zlib'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { proposeToReplicas } from '../../src/agreement/sheets/proposeToReplicas.js'
import { SheetSubmitter } from '../../src/agreement/sheets/SheetSubmitter.js'
import type { SubmitAnswer } from '../../src/agreement/sheets/SubmitAnswer.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { ReplicaRefusedError } from '../../src/errors/ReplicaRefusedError.js'
import { Counters } from '../../src/observe/Counters.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

test('a sheet submitted through any replica is accepted once and reaches all', async (context) => {
  const cluster = await SheetCluster.start(context, 1)
  for (const [index, host] of cluster.hosts.entries()) {
    const answer = await cluster.waitFor(cluster.submit(host, index + 1))
    assert.equal(answer.result, SubmitResult.Accepted)
    assert.equal(answer.accepted?.revision, index + 1)
  }
  await cluster.waitForSheet(5)
  for (const { registry } of cluster.hosts) assert.deepEqual(registry.history().map(({ number }) => number), [1, 2, 3, 4, 5])
})

const answers = [
  { name: 'the same sheet again', number: 2, content: 'sheet 2', result: SubmitResult.AcceptedBefore, revision: 1 },
  { name: 'another content', number: 2, content: 'other', result: SubmitResult.Conflict, revision: 1 },
  { name: 'a lower number never accepted', number: 3, content: 'sheet 3', result: SubmitResult.Stale, revision: undefined },
  { name: 'the newest again', number: 4, content: 'sheet 4', result: SubmitResult.AcceptedBefore, revision: 2 },
  { name: 'a higher number', number: 5, content: 'sheet 5', result: SubmitResult.Accepted, revision: 3 }
]

for (const { name, number, content, result, revision } of answers) {
  test(`after sheets 2 and 4, ${name} is answered ${result}, also after a leader change`, async (context) => {
    const cluster = await SheetCluster.start(context, 2)
    await cluster.waitFor(cluster.submit(cluster.getHost(0), 2))
    await cluster.waitFor(cluster.submit(cluster.getHost(0), 4))
    cluster.kill(await cluster.waitForLeader())
    const leader = await cluster.waitForLeader()
    const answer = await cluster.waitFor(cluster.submit(leader, number, content))
    assert.equal(answer.result, result)
    assert.equal(answer.accepted?.revision, revision)
    if (result === SubmitResult.Conflict) assert.equal(answer.accepted?.digest, digestOf('sheet 2'))
  })
}

test('of concurrent submissions of one number through all replicas, exactly one content is accepted', async (context) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    context.mock.timers.reset()
    context.mock.restoreAll()
    const cluster = await SheetCluster.start(context, seed)
    const submissions = cluster.hosts.map((host, index) => cluster.submit(host, 1, `content ${index}`))
    const results = await cluster.waitFor(Promise.all(submissions))
    assert.equal(results.filter(({ result }) => result === SubmitResult.Accepted).length, 1)
    assert.equal(results.filter(({ result }) => result === SubmitResult.Conflict).length, 4)
    assert.equal(new Set(results.map(({ accepted }) => accepted?.digest)).size, 1)
  }
})

test('a host without a replica submits through the replicas, skipping lost, empty and disconnected ones', async (context) => {
  const cluster = await SheetCluster.start(context, 3)
  const empty = await cluster.addHost()
  const [lost, disconnected] = cluster.listFollowers() as [ClusterHost, ClusterHost]
  cluster.kill(lost)
  cluster.network.split([disconnected.address], cluster.listAddresses().slice(0, 5))
  const { callPeer } = cluster.network.addHost('127.0.0.99:7000')
  const addresses = [empty, lost, disconnected, await cluster.waitForLeader()].map(({ address }) => address)
  const submitter = new SheetSubmitter({
    propose: (entry) => proposeToReplicas(callPeer, addresses, entry),
    pack: async (content) => gzipSync(content).toString('base64'),
    log: { info: () => {}, warn: () => {}, error: () => {} },
    counters: new Counters()
  })
  const submit = (content: string): Promise<SubmitAnswer> => cluster.waitFor(submitter.submit({ number: 1, digest: digestOf(content), content, operator: 'ana' }))
  assert.equal((await submit('first')).result, SubmitResult.Accepted)
  assert.equal((await submit('first')).result, SubmitResult.AcceptedBefore)
  assert.equal((await submit('second')).result, SubmitResult.Conflict)
  for (const host of cluster.listRunning()) cluster.kill(host)
  const answer = await submit('third')
  assert.deepEqual([answer.result, answer.outcomeUnknown], [SubmitResult.NoQuorum, false], 'nothing was proposed to any replica')
})

const invalid = [
  { name: 'a digest that is not the content’s', number: 1, digest: 'f'.repeat(64) },
  { name: 'the number zero', number: 0, digest: digestOf('x') },
  { name: 'a number that is no integer', number: 1.5, digest: digestOf('x') }
]

for (const { name, number, digest } of invalid) {
  test(`a submission with ${name} is refused without a log entry`, async (context) => {
    const cluster = await SheetCluster.start(context, 4, 3)
    await cluster.advance(1_000)
    const { last } = cluster.getHost(0).replicatedLog.status()
    await assert.rejects(cluster.waitFor(cluster.getHost(0).registry.submit({ number, digest, content: 'x', operator: 'ana' })), ReplicaRefusedError)
    assert.equal(cluster.getHost(0).replicatedLog.status().last.index, last.index)
  })
}
