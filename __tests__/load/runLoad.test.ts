import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { LoadPlan } from '../../src/cli/load/LoadPlan.js'
import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'
import type { LoadStream } from '../../src/cli/load/LoadStream.js'
import { LoadTally } from '../../src/cli/load/LoadTally.js'
import { DrainTarget } from '../../src/cli/load/DrainTarget.js'
import { createArrivalGapGenerator } from '../../src/cli/load/createArrivalGapGenerator.js'
import { formatLoadHtml } from '../../src/cli/load/formatLoadHtml.js'
import { parseSchedule } from '../../src/cli/load/parseSchedule.js'
import { pickByWeight } from '../../src/cli/load/pickByWeight.js'
import { runLoad } from '../../src/cli/load/runLoad.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { answerRan, FakeEntryHost } from './FakeEntryHost.js'

function createPlan (hosts: FakeEntryHost[], stream: Partial<LoadStream>): LoadPlan {
  return {
    entryAddresses: hosts.map((host) => host.address),
    place: undefined,
    streams: [{
      service: 'desk',
      requestClass: RequestClass.Idempotent,
      requestsPerSecond: 100,
      maximumRequests: Infinity,
      path: 'orders',
      deadlineMilliseconds: 2000,
      bodyBytes: 10,
      resends: 0,
      resendWithinMilliseconds: 0,
      ...stream
    }],
    durationSeconds: 0.3,
    seed: 7,
    schedule: []
  }
}

async function collectRecords (plan: LoadPlan): Promise<LoadRecord[]> {
  const records: LoadRecord[] = []
  await runLoad(plan, (record) => { records.push(record) })
  return records
}

test('latency counts from the scheduled time, and slow answers do not delay later requests', async (context) => {
  const host = new FakeEntryHost((request, response) => { setTimeout(() => { answerRan(request, response) }, 300) })
  await host.start(context)
  const records = await collectRecords(createPlan([host], {}))
  assert.ok(records.length > 10)
  for (const record of records) assert.ok(record.latencyMilliseconds >= 299)
  assert.equal(host.lookupCount, 1)
})

test('a one-time action is retried at the next host with the same key when its connection breaks', async (context) => {
  const broken = new FakeEntryHost((_request, response) => { response.destroy() })
  const good = new FakeEntryHost(answerRan)
  await broken.start(context)
  await good.start(context)
  broken.hosts = good.hosts = [broken, good]
  const records = await collectRecords(createPlan([broken, good], { requestClass: RequestClass.OneTime }))
  assert.ok(broken.receivedKeys.length > 0)
  assert.ok(records.every((record) => record.answer.outcome === Outcome.Ran))
  for (const key of broken.receivedKeys) assert.ok(good.receivedKeys.includes(key))
  assert.equal(new Set(good.receivedKeys).size, records.length)
})

test('after a failed connection the next host of the cached look-up is used, even when look-ups are no longer answered', async (context) => {
  const broken = new FakeEntryHost((_request, response) => { response.destroy() })
  const good = new FakeEntryHost(answerRan)
  await broken.start(context)
  await good.start(context)
  broken.hosts = [broken, good]
  broken.maximumAnsweredLookups = 1
  const records = await collectRecords(createPlan([broken], { deadlineMilliseconds: 900, maximumRequests: 10 }))
  assert.ok(broken.receivedKeys.length > 0)
  assert.ok(records.every((record) => record.answer.outcome === Outcome.Ran))
})

test('each resend of a one-time action carries the key of the first sending', async (context) => {
  const host = new FakeEntryHost(answerRan)
  await host.start(context)
  const records = await collectRecords(createPlan([host], { requestClass: RequestClass.OneTime, resends: 2, resendWithinMilliseconds: 20 }))
  assert.equal(host.receivedKeys.length, records.length)
  assert.equal(new Set(host.receivedKeys).size, records.length / 3)
})

test('the tally counts outcomes and reasons, and the HTML page names the stream', async (context) => {
  const host = new FakeEntryHost((_request, response) => {
    response.writeHead(503, { 'Hibiscusrelay-Outcome': 'not-run', 'Hibiscusrelay-Reason': 'queue-full' }).end()
  })
  await host.start(context)
  const plan = createPlan([host], {})
  const tally = new LoadTally(plan)
  await runLoad(plan, (record) => { tally.add(record) })
  const summary = tally.summarize()
  assert.equal(summary.streams[0]?.notRun, summary.streams[0]?.requests)
  assert.deepEqual(Object.keys(summary.streams[0]?.reasons ?? {}), ['queue-full'])
  assert.match(formatLoadHtml(summary), /desk \(idempotent\)/)
})

test('arrival gaps are the same for the same seed and match the rate on average', () => {
  const [left, right] = [createArrivalGapGenerator(3), createArrivalGapGenerator(3)]
  const gaps = Array.from({ length: 20_000 }, () => left(50))
  assert.equal(gaps[0], right(50))
  const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length
  assert.ok(Math.abs(mean - 20) < 0.5)
})

test('hosts are picked in proportion to their weights', () => {
  const hosts = [1, 3, 0].map((weight, index) => ({ name: `h${index}`, address: '', weight, draining: false }))
  const picked = [0, 0.24, 0.26, 0.99].map((uniform) => pickByWeight(hosts, uniform)?.name)
  assert.deepEqual(picked, ['h0', 'h0', 'h1', 'h1'])
  assert.equal(pickByWeight([], 0.5), undefined)
})

for (const { line, entry } of [
  { line: '5s rate 2 fiesta begins', entry: { atSeconds: 5, rateFactor: 2, note: 'fiesta begins' } },
  { line: '1.5s gijon is cut off', entry: { atSeconds: 1.5, note: 'gijon is cut off' } },
  { line: '2s drain place gijon', entry: { atSeconds: 2, note: 'drain gijon', drain: { target: DrainTarget.Place, name: 'gijon' } } },
  { line: '2s rate 0.5 drain upstream 127.0.0.1:80 planned work', entry: { atSeconds: 2, rateFactor: 0.5, note: 'planned work', drain: { target: DrainTarget.Upstream, name: '127.0.0.1:80' } } },
  { line: '2s drain gijon', entry: 'error' },
  { line: '2s drain place', entry: 'error' },
  { line: '2s rate fast', entry: 'error' },
  { line: '# a comment', entry: undefined },
  { line: 'rate 2', entry: 'error' }
]) {
  test(`schedule line: ${line}`, () => {
    if (entry === 'error') return assert.throws(() => parseSchedule('file', line), /expected <seconds>s/)
    assert.deepEqual(parseSchedule('file', line), entry === undefined ? [] : [entry])
  })
}
