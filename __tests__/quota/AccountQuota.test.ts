import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { AccountQuota } from '../../src/quota/AccountQuota.js'
import type { QuotaAnswer } from '../../src/quota/QuotaAnswer.js'
import type { QuotaGrant, QuotaRequest } from '../../src/quota/QuotaMessages.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import { createAccount } from '../plan/createPlan.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const LIMITED = createAccount({ name: 'limited', requestsPerSecond: 50, burst: 10 })
const OTHER = createAccount({ name: 'other', requestsPerSecond: 50, burst: 10 })
const UNLIMITED = createAccount({ name: 'unlimited' })
const ROUND_TRIP_MILLISECONDS = 20
const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

interface Call {
  address: string
  rows: QuotaRequest['rows']
}

type Respond = (address: string, row: QuotaRequest['rows'][number]) => QuotaGrant | null | undefined

interface Fixture {
  quota: AccountQuota
  calls: Call[]
  counters: Counters
  take: (account?: typeof LIMITED, cancelled?: AbortSignal) => Promise<QuotaAnswer>
}

/** An entry host that knows three control hosts; they answer 20 ms after each call, or not at all. */
function createQuota (context: TestContext, respond: Respond): Fixture {
  pauseClock(context)
  const calls: Call[] = []
  const counters = new Counters()
  const callPeer = (async (address: string, _method: string, { rows }: QuotaRequest, timeoutMilliseconds: number) => {
    calls.push({ address, rows })
    const grants = rows.map((row) => respond(address, row))
    const isSilent = grants.some((grant) => grant === undefined)
    await new Promise<void>((resolve, reject) => { setTimeout(isSilent ? () => { reject(new Error('timeout')) } : resolve, isSilent ? timeoutMilliseconds : ROUND_TRIP_MILLISECONDS) })
    return { grants }
  }) as unknown as CallPeer
  const quota = new AccountQuota({ client: 'entry-1', listControlHosts: () => ['near', 'second', 'third'], callPeer, random: () => 0, counters, log: silentLog })
  return { quota, calls, counters, take: (account = LIMITED, cancelled = new AbortController().signal) => quota.take(account, cancelled) }
}

async function takeSettled (context: TestContext, taken: Promise<QuotaAnswer>, withinMilliseconds: number): Promise<QuotaAnswer | undefined> {
  let answer: QuotaAnswer | undefined
  taken.then((settled) => { answer = settled }, () => {})
  await advance(context, withinMilliseconds)
  return answer
}

const grantAll: Respond = (_address, [, waiting]) => [waiting, 0]

// Guards against guests of accounts without a limit who wait for the tokens of others, and against calls that nobody needs.
test('an account without a limit is served at once and without a call, also while another waits', async (context) => {
  const { take, calls } = createQuota(context, () => undefined)
  take().catch(() => {})
  await advance(context, 50)
  assert.equal((await take(UNLIMITED)).isGranted, true)
  assert.deepEqual(calls.map(({ rows }) => rows.map(([account]) => account)), [['limited']])
})

// Guards against a call for each request, which costs bytes between hosts.
test('one call carries all accounts and requests of the same moment', async (context) => {
  const { take, calls } = createQuota(context, grantAll)
  const taken = [take(), take(), take(OTHER)]
  await advance(context, 50)
  for (const answer of await Promise.all(taken)) assert.equal(answer.isGranted, true)
  assert.deepEqual(calls, [{ address: 'near', rows: [['limited', 2, 0, 0, 2], ['other', 1, 0, 0, 1]] }])
})

// Guards against guests who wait for long, or are told that they are over their quota, when no control host answers.
test('a call that is not answered is sent once to the next control host, and then the request is refused as unavailable', async (context) => {
  const { take, calls } = createQuota(context, () => undefined)
  const answer = await takeSettled(context, take(), 650)
  assert.deepEqual(calls.map(({ address }) => address), ['near', 'second'])
  assert.ok(answer !== undefined && !answer.isGranted && !answer.isExceeded && answer.retryAfterMilliseconds > 0)
  const next = await takeSettled(context, take(), 10)
  assert.ok(next !== undefined && !next.isGranted && !next.isExceeded, 'the next guest does not wait')
  assert.equal(calls.length, 2)
  await advance(context, 250)
  take().catch(() => {})
  await advance(context, 20)
  assert.equal(calls[2]?.address, 'third', 'control hosts that just failed come last')
})

// Guards against refusals while another control host can grant tokens.
test('a control host that does not answer, or does not know the account, is passed over', async (context) => {
  const { take } = createQuota(context, (address, row) => address === 'near' ? undefined : grantAll(address, row))
  assert.equal((await takeSettled(context, take(), 350))?.isGranted, true)
  assert.equal((await takeSettled(context, take(), 50))?.isGranted, true, 'the next call does not wait for the timeout')
})

test('an account that the nearest control host does not know is asked for at the next', async (context) => {
  const { take } = createQuota(context, (address, row) => address === 'near' ? null : grantAll(address, row))
  assert.equal((await takeSettled(context, take(), 100))?.isGranted, true)
})

// Guards against refusals of a small account while other control hosts have tokens, and against a flood of such calls.
test('a denied request is asked for elsewhere, once a second, and denied with the shortest wait', async (context) => {
  const { take, calls } = createQuota(context, (address) => [0, address === 'near' ? 900 : 400])
  const answer = await takeSettled(context, take(), 100)
  assert.ok(answer !== undefined && !answer.isGranted && answer.isExceeded)
  assert.equal(answer.retryAfterMilliseconds, 400)
  assert.equal(calls.length, 3)
  const local = await takeSettled(context, take(), 10)
  assert.ok(local !== undefined && !local.isGranted && local.isExceeded)
  assert.ok(local.retryAfterMilliseconds < 400 && local.retryAfterMilliseconds > 250, `${local.retryAfterMilliseconds}`)
  assert.equal(calls.length, 3, 'refused without a call')
  await advance(context, 250)
  await takeSettled(context, take(), 50)
  assert.deepEqual(calls[3]?.rows, [['limited', 1, 0, 0, 2]], 'refused requests are reported as demand')
  assert.equal(calls.length, 4)
})

test('tokens of another control host serve a request that the nearest one denied', async (context) => {
  const { take } = createQuota(context, (address, row) => address === 'near' ? [0, 900] : grantAll(address, row))
  assert.equal((await takeSettled(context, take(), 100))?.isGranted, true)
})

// Guards against quota that is lost with requests that no upstream got, and against old tokens that are used in a later window.
test('a token is given back once, while it is new', async (context) => {
  const { take, calls } = createQuota(context, grantAll)
  const first = await takeSettled(context, take(), 50)
  assert.ok(first?.isGranted)
  first.refund()
  first.refund()
  const second = await takeSettled(context, take(), 10)
  assert.ok(second?.isGranted)
  assert.equal(calls.length, 1)
  await advance(context, 150)
  second.refund()
  await takeSettled(context, take(), 50)
  assert.equal(calls.length, 2)
})

// Guards against a host that was suspended and then serves guests with tokens of long ago.
test('tokens expire, also by the wall clock', async (context) => {
  const { take, calls, counters } = createQuota(context, (_address, [, waiting]) => [waiting + 2, 0])
  await takeSettled(context, take(), 50)
  await advance(context, 1_500)
  await takeSettled(context, take(), 50)
  assert.equal(calls.length, 2)
  assert.equal(counters.read('quota.tokens-expired'), 2)
  const frozen = performance.now()
  const passed = performance.now
  performance.now = () => frozen
  context.mock.timers.setTime(Date.now() + 2_000)
  take().catch(() => {})
  await new Promise((resolve) => { setImmediate(resolve) })
  performance.now = passed
  assert.equal(calls.length, 3)
})

// Guards against guests who wait for ever because of a reply in another form, as of a faulty or a later version.
test('a reply that cannot be read ends the wait', async (context) => {
  const { take } = createQuota(context, () => 5 as unknown as QuotaGrant)
  const answer = await takeSettled(context, take(), 100)
  assert.ok(answer !== undefined && !answer.isGranted && !answer.isExceeded)
})

// Guards against a guest that left and takes a token along.
test('a guest that leaves stops to wait, and its token serves the next one', async (context) => {
  const { take, calls } = createQuota(context, grantAll)
  const cancellation = new AbortController()
  const left = take(LIMITED, cancellation.signal)
  await advance(context, 10)
  cancellation.abort()
  assert.equal((await left).isGranted, false)
  await advance(context, 50)
  assert.equal((await takeSettled(context, take(), 10))?.isGranted, true)
  assert.equal(calls.length, 1)
})

// Guards against guests of a busy account who all wait for a call.
test('for steady demand most tokens are fetched in advance', async (context) => {
  const { take, calls } = createQuota(context, (_address, [, waiting, inAdvance]) => [waiting + inAdvance, 0])
  for (let count = 0; count < 100; count += 1) {
    take().catch(() => {})
    await advance(context, 50)
  }
  assert.ok(calls.length < 25, `${calls.length} calls for 100 requests`)
  assert.ok(calls.every(({ rows: [row] }) => row![1] + row![2] <= 20))
})
