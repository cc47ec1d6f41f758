import assert from 'node:assert/strict'
import type { Readable } from 'node:stream'
import { test } from 'node:test'
import { StopWindow } from '../../src/limits/StopWindow.js'
import type { Counters } from '../../src/observe/Counters.js'
import { fingerprintRequest } from '../../src/relay/fingerprintRequest.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { advance } from '../support/pauseClock.js'
import { openSecondAttemptFixture, USUAL_MILLISECONDS } from './openSecondAttemptFixture.js'

/** Time after which a first attempt has certainly become slow. */
const SLOW_MILLISECONDS = 4 * USUAL_MILLISECONDS
/** A part of an answer that is larger than the buffer for whole ones. */
const LARGE_PART = 'x'.repeat(2_000)

function readCounts (counters: Counters): Record<string, number> {
  return Object.fromEntries(['begun', 'won', 'lost', 'denied'].map((name) => [name, counters.read(`second-attempt.${name}`)]))
}

// Guards against a guest that waits for one slow run while other upstreams would answer in the usual time.
test('a second attempt begins when the first one takes unusually long, and its answer reaches the guest', async (context) => {
  const { start, exchanges, counters, lines, loads, runs, probes } = await openSecondAttemptFixture(context)
  const startedAt = performance.now()
  const answer = start()
  await advance(context, SLOW_MILLISECONDS)
  const [first, second] = exchanges
  assert.equal(exchanges.length, 2)
  assert.notEqual(second!.record.id, first!.record.id)
  assert.ok(second!.startedAt - startedAt >= USUAL_MILLISECONDS && second!.startedAt - startedAt < 2 * USUAL_MILLISECONDS, `after ${second!.startedAt - startedAt} ms`)
  const probesBefore = probes()
  second!.respond('second')
  assert.equal(String((await answer).body), 'second')
  await advance(context, 20)
  assert.notEqual(first!.abortedAt, undefined)
  assert.deepEqual(readCounts(counters), { begun: 1, won: 1, lost: 0, denied: 0 })
  // The upstream of the cancelled attempt has not failed, and is no reason to look whether it lives.
  assert.equal(loads.get(first!.record.id).hasFailed, false)
  assert.equal(loads.get(first!.record.id).inFlight, 0)
  assert.equal(probes(), probesBefore)
  assert.equal(runs.list().some(({ isInFlight }) => isInFlight), false)
  const { second: upstream, secondAfter, winner, sends, tried } = lines[lines.length - 1]!
  assert.deepEqual({ upstream, winner, sends, tried }, { upstream: second!.record.id, winner: 'second', sends: 2, tried: `${first!.record.id},${second!.record.id}` })
  assert.equal(secondAfter, second!.startedAt - first!.startedAt)
})

test('the answer of the first attempt reaches the guest when it comes first, and the second attempt is cancelled', async (context) => {
  const { start, exchanges, counters, lines, loads } = await openSecondAttemptFixture(context)
  const answer = start()
  await advance(context, SLOW_MILLISECONDS)
  const [first, second] = exchanges
  first!.respond('first')
  assert.equal(String((await answer).body), 'first')
  await advance(context, 20)
  assert.notEqual(second!.abortedAt, undefined)
  assert.equal(loads.get(second!.record.id).hasFailed, false)
  assert.deepEqual(readCounts(counters), { begun: 1, won: 0, lost: 1, denied: 0 })
  assert.equal(lines[lines.length - 1]!.winner, 'first')
})

// Guards against a guest that gets two answers, or a mix of them.
test('of two answers that arrive together one is delivered', async (context) => {
  const { start, exchanges, counters, lines } = await openSecondAttemptFixture(context)
  const answer = start()
  await advance(context, SLOW_MILLISECONDS)
  exchanges[0]!.respond('first')
  exchanges[1]!.respond('second')
  assert.equal(String((await answer).body), 'first')
  await advance(context, 20)
  assert.deepEqual(readCounts(counters), { begun: 1, won: 0, lost: 1, denied: 0 })
  assert.equal(lines.filter(({ step }) => step === 'answer').length, 61)
})

for (const [name, winner, loser] of [['first', 0, 1], ['second', 1, 0]] as const) {
  // Guards against a response that breaks off in the middle, or goes on from another upstream.
  test(`an answer of the ${name} attempt that is passed on while it arrives is passed on to its end`, async (context) => {
    const { start, exchanges } = await openSecondAttemptFixture(context)
    const answer = start()
    await advance(context, SLOW_MILLISECONDS)
    exchanges[winner]!.begin(LARGE_PART, {}, LARGE_PART.length)
    const { body, outcome } = await answer
    assert.equal(outcome, Outcome.Ran)
    exchanges[loser]!.respond('late')
    await advance(context, 20)
    assert.equal(exchanges[winner]!.abortedAt, undefined)
    exchanges[winner]!.end()
    const parts: Buffer[] = []
    for await (const part of body as Readable) parts.push(part as Buffer)
    assert.equal(Buffer.concat(parts).toString(), LARGE_PART)
  })
}

test('a guest that leaves while a large answer is passed on ends its exchange', async (context) => {
  const { startWithGuest, exchanges } = await openSecondAttemptFixture(context)
  const { answer, leave } = startWithGuest()
  await advance(context, SLOW_MILLISECONDS)
  exchanges[1]!.begin(LARGE_PART)
  await answer
  leave()
  await advance(context, 20)
  assert.ok(exchanges.every(({ abortedAt }) => abortedAt !== undefined))
})

test('a second attempt continues when the first one fails', async (context) => {
  const { start, exchanges, counters } = await openSecondAttemptFixture(context)
  const answer = start()
  await advance(context, SLOW_MILLISECONDS)
  exchanges[0]!.reset()
  await advance(context, 100)
  assert.equal(exchanges[1]!.abortedAt, undefined)
  exchanges[1]!.respond('second')
  assert.equal(String((await answer).body), 'second')
  assert.deepEqual(readCounts(counters), { begun: 1, won: 1, lost: 0, denied: 0 })
  assert.equal(exchanges.length, 2)
})

test('the first attempt continues when the second one is refused', async (context) => {
  const { start, exchanges, lines } = await openSecondAttemptFixture(context, { mostAttempts: 4 })
  const answer = start()
  await advance(context, SLOW_MILLISECONDS)
  exchanges[1]!.refuse()
  await advance(context, SLOW_MILLISECONDS)
  assert.equal(exchanges.length, 2)
  exchanges[0]!.respond('first')
  assert.equal(String((await answer).body), 'first')
  assert.equal(lines[lines.length - 1]!.winner, 'first')
})

// Guards against a third upstream beyond max_attempts, and against a refusal although the request may have run.
test('a request whose two attempts both fail is answered as unknown within its maximum number of attempts', async (context) => {
  const { start, exchanges, counters } = await openSecondAttemptFixture(context)
  const answer = start()
  await advance(context, SLOW_MILLISECONDS)
  exchanges[0]!.reset()
  exchanges[1]!.refuse()
  await advance(context, 200)
  const { outcome, status } = await answer
  assert.deepEqual({ outcome, status, sends: exchanges.length }, { outcome: Outcome.Unknown, status: 502, sends: 2 })
  assert.deepEqual(readCounts(counters), { begun: 1, won: 0, lost: 1, denied: 0 })
})

test('both attempts end when the guest leaves', async (context) => {
  const { startWithGuest, exchanges, loads } = await openSecondAttemptFixture(context)
  const { answer, leave } = startWithGuest()
  await advance(context, SLOW_MILLISECONDS)
  leave()
  await advance(context, 20)
  await answer
  assert.equal(exchanges.length, 2)
  assert.ok(exchanges.every(({ abortedAt }) => abortedAt !== undefined))
  assert.equal(loads.inFlight, 0)
})

test('both attempts end at the deadline, and the guest is told that the request may have run', async (context) => {
  const { start, exchanges } = await openSecondAttemptFixture(context)
  const answer = start()
  await advance(context, 2_010)
  const { outcome, status } = await answer
  assert.deepEqual({ outcome, status }, { outcome: Outcome.Unknown, status: 504 })
  assert.equal(exchanges.length, 2)
  assert.ok(exchanges.every(({ abortedAt }) => abortedAt !== undefined))
})

const cases: Array<[name: string, ...parameters: Parameters<typeof openSecondAttemptFixture> extends [unknown, ...infer Rest] ? Rest : never]> = [
  ['that must run at most once', { requestClass: RequestClass.OneTime }],
  ['whose route allows one attempt', { mostAttempts: 1 }],
  ['of a host without the setting', {}, { secondAttemptRatio: () => 0 }]
]
for (const [name, routeOverrides, options] of cases) {
  test(`a request ${name} never gets a second attempt`, async (context) => {
    const { start, exchanges, counters, lines } = await openSecondAttemptFixture(context, routeOverrides, options)
    const answer = start()
    await advance(context, SLOW_MILLISECONDS)
    assert.equal(exchanges.length, 1)
    exchanges[0]!.respond('only')
    assert.equal(String((await answer).body), 'only')
    assert.deepEqual(readCounts(counters), { begun: 0, won: 0, lost: 0, denied: 0 })
    const { second, secondAfter, winner, secondDenied } = lines[lines.length - 1]!
    assert.deepEqual([second, secondAfter, winner, secondDenied], [undefined, undefined, undefined, undefined])
  })
}

// Guards against timers and counters that a deployment without the setting did not have.
test('a host without the setting starts no further timer for a request, and declares no counter', async (context) => {
  const { start, exchanges, counters } = await openSecondAttemptFixture(context, {}, { secondAttemptRatio: () => 0 })
  const original = globalThis.setTimeout
  let timers = 0
  globalThis.setTimeout = ((...parameters: Parameters<typeof setTimeout>) => {
    timers += 1
    return original(...parameters)
  }) as typeof setTimeout
  context.after(() => { globalThis.setTimeout = original })
  const answer = start()
  await advance(context, 10)
  exchanges[0]!.respond()
  await answer
  // The deadline of the exchange.
  assert.equal(timers, 1)
  assert.ok(Object.keys(counters.snapshot()).every((name) => !name.startsWith('second-attempt')))
})

// Guards against a request that ends upstreams at two of them at once.
test('a request under suspicion of ending upstreams never gets a second attempt', async (context) => {
  const { start, exchanges, crashes, counters } = await openSecondAttemptFixture(context)
  crashes.recordLoss('i-ended@1', [fingerprintRequest({ scope: 'stock.example', method: 'GET', path: '/lookups/suspect', body: Buffer.alloc(0) })])
  const answer = start({ path: '/lookups/suspect' })
  await advance(context, 1_500)
  assert.equal(exchanges.length, 1)
  exchanges[0]!.respond('only')
  assert.equal((await answer).status, 200)
  assert.equal(counters.read('second-attempt.begun'), 0)
})

test('a request that comes under suspicion while its first attempt runs gets no second one', async (context) => {
  const { start, exchanges, crashes, lines, counters } = await openSecondAttemptFixture(context)
  const answer = start({ path: '/lookups/other' })
  await advance(context, 50)
  crashes.recordLoss('i-ended@1', [fingerprintRequest({ scope: 'stock.example', method: 'GET', path: '/lookups/other', body: Buffer.alloc(0) })])
  await advance(context, SLOW_MILLISECONDS)
  assert.equal(exchanges.length, 1)
  exchanges[0]!.respond('only')
  await answer
  assert.equal(lines[lines.length - 1]!.secondDenied, 'suspect')
  assert.deepEqual(readCounts(counters), { begun: 0, won: 0, lost: 0, denied: 1 })
})

test('a stopping host begins no second attempt whose deadline it does not admit', async (context) => {
  const stopWindow = new StopWindow()
  const { start, exchanges, lines } = await openSecondAttemptFixture(context, {}, { stopWindow })
  const answer = start()
  await advance(context, 50)
  stopWindow.begin(performance.now() + 1_000)
  await advance(context, SLOW_MILLISECONDS)
  assert.equal(exchanges.length, 1)
  exchanges[0]!.respond('only')
  await answer
  assert.equal(lines[lines.length - 1]!.secondDenied, 'stopping')
})

// Guards against second attempts that take the slots of requests that have none yet.
test('no second attempt begins while the slots of the service are in use', async (context) => {
  const { start, exchanges, counters } = await openSecondAttemptFixture(context)
  const answers = Array.from({ length: 12 }, () => start())
  await advance(context, SLOW_MILLISECONDS)
  assert.equal(exchanges.length, 12)
  for (const exchange of exchanges) exchange.respond()
  await Promise.all(answers)
  assert.deepEqual(readCounts(counters), { begun: 0, won: 0, lost: 0, denied: 12 })
})

// Guards against a host whose places in the admission queue leak with each second attempt.
test('a second attempt occupies a place of the service until it ends', async (context) => {
  const { start, exchanges, counters } = await openSecondAttemptFixture(context)
  for (let round = 0; round < 12; round += 1) {
    const answer = start()
    await advance(context, SLOW_MILLISECONDS)
    exchanges[exchanges.length - 1]!.respond()
    await answer
    await advance(context, 20)
  }
  assert.equal(counters.read('second-attempt.begun'), 12)
})

// Guards against second attempts that exceed the operator's ratio, or the retry budget of all hosts together.
for (const [name, ratio, retryBound, expectedReason] of [
  ['the ratio', 0.05, { ratio: 1, allowance: 1_000, windowMilliseconds: 10_000 }, 'ratio'],
  ['the retry budget', 0.9, { ratio: 0.05, allowance: 0, windowMilliseconds: 10_000 }, 'retry-budget']
] as const) {
  test(`second attempts stay within ${name}`, async (context) => {
    const { start, exchanges, counters, lines } = await openSecondAttemptFixture(context, {}, { secondAttemptRatio: () => ratio, retryBound: () => retryBound })
    for (let round = 0; round < 4; round += 1) {
      const answer = start()
      await advance(context, SLOW_MILLISECONDS)
      exchanges[exchanges.length - 1]!.respond()
      await answer
    }
    assert.equal(lines[lines.length - 1]!.secondDenied, expectedReason)
    // 0.05 for each of 64 requests would be 3; a fifth of that is kept as a margin for windows that do not align.
    assert.deepEqual(readCounts(counters), { begun: 2, won: 2, lost: 0, denied: 2 })
  })
}

// Guards against a guest whose request is lost because an optional check failed.
test('a first attempt continues when the check before the second one fails', async (context) => {
  const { start, exchanges, detector, lines } = await openSecondAttemptFixture(context)
  const answer = start()
  await advance(context, 10)
  detector.checkCopies = async () => { throw new Error('no check') }
  await advance(context, SLOW_MILLISECONDS)
  assert.equal(exchanges.length, 1)
  exchanges[0]!.respond('first')
  assert.equal(String((await answer).body), 'first')
  assert.equal(lines[lines.length - 1]!.secondDenied, 'suspect')
})
