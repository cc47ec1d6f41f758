import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ClaimResult } from '../../src/ledger/ClaimLedger.js'
import { ClaimVerdict, type ClaimParameters, type ClaimReply } from '../../src/ledger/LedgerMessages.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { ANSWER, LedgerFixture } from './LedgerFixture.js'
import type { Message } from './MemoryNetwork.js'

const PROMPT_DELIVERY = { delayMilliseconds: 1, copies: 1 }

test('two hosts that claim one key at the same time run it once, with any delays', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const ledgers = ['x', 'y'].map((address) => fixture.createClaimant(address))
  const results = new Map<ClaimResult, number>()
  for (let round = 0; round < 200; round++) {
    fixture.network.route = () => ({ delayMilliseconds: Math.floor(fixture.random() * 20), copies: fixture.random() < 0.2 ? 2 : 1 })
    const key = (await fixture.createKey(ledgers[0]!))!
    const answers = await fixture.advanceUntilSettled(Promise.all(ledgers.map(async (ledger) => await fixture.send(ledger, key))))
    assert.equal(fixture.runs.get(key) ?? 0, answers.filter(({ result }) => result === ClaimResult.Granted).length)
    assert.ok((fixture.runs.get(key) ?? 0) <= 1)
    for (const { result } of answers) results.set(result, (results.get(result) ?? 0) + 1)
  }
  assert.ok((results.get(ClaimResult.Granted) ?? 0) >= 190, JSON.stringify([...results]))
})

test('a key with another body is a conflict, while its action runs and after it', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const [ledger, other] = [fixture.createClaimant('x'), fixture.createClaimant('y')]
  const key = (await fixture.createKey(ledger))!
  assert.equal((await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))).result, ClaimResult.Granted)
  assert.equal((await fixture.advanceUntilSettled(other.claim(key, 'other'))).result, ClaimResult.Conflict)
  await fixture.advanceUntilSettled(ledger.complete(key, ANSWER))
  const answer = await fixture.advanceUntilSettled(other.claim(key, 'other'))
  assert.deepEqual([answer.result, answer.mayHaveRun], [ClaimResult.Conflict, false])
})

test('an action whose claimant died counts as running until its time has passed, then as unknown', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  const key = (await fixture.createKey(ledger))!
  await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))
  const other = fixture.createClaimant('y')
  assert.equal((await fixture.advanceUntilSettled(other.claim(key, 'digest'))).result, ClaimResult.Running)
  await fixture.advance(60_001, 100)
  assert.equal((await fixture.advanceUntilSettled(other.claim(key, 'digest'))).result, ClaimResult.Unknown)
  await fixture.advanceUntilSettled(ledger.complete(key, ANSWER))
  assert.equal((await fixture.advanceUntilSettled(other.claim(key, 'digest'))).result, ClaimResult.Answered)
})

test('a claim is not valid after its claimant stalled before the dispatch, nor after it has ended', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const [ledger, other] = [fixture.createClaimant('x'), fixture.createClaimant('y')]
  const key = (await fixture.createKey(ledger))!
  const frozen = await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))
  assert.equal(frozen.isStillValid(), true)
  await fixture.advance(5_000, 100)
  assert.equal(frozen.isStillValid(), false)
  await fixture.advanceUntilSettled(ledger.release(key))
  const next = await fixture.advanceUntilSettled(other.claim(key, 'digest'))
  assert.deepEqual([next.result, next.isStillValid()], [ClaimResult.Granted, true])
  await fixture.advanceUntilSettled(other.markUnknown(key))
  assert.equal(next.isStillValid(), false)
  assert.equal((await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))).result, ClaimResult.Unknown)
})

test('two claimants that each hold one of two members both withdraw, and at most one of them is granted later', async (context) => {
  const fixture = new LedgerFixture(context, 2)
  await fixture.startAll()
  const [ledger, other] = [fixture.createClaimant('x'), fixture.createClaimant('y')]
  const key = (await fixture.createKey(ledger))!
  const slow = ['x,b', 'y,a']
  fixture.network.route = ({ from, to }) => ({ delayMilliseconds: slow.includes(`${from},${to}`) ? 10 : 1, copies: 1 })
  const answers = await fixture.advanceUntilSettled(Promise.all([ledger.claim(key, 'digest'), other.claim(key, 'digest')]))
  assert.ok(fixture.counters.read('ledger.retry.contended') >= 2)
  assert.ok(answers.filter(({ result }) => result === ClaimResult.Granted).length <= 1)
})

test('a claim that arrives after its release is refused, and a claim that arrives twice is held once', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  const key = (await fixture.createKey(ledger))!
  const sent: Message[] = []
  fixture.network.route = (message) => {
    const isLate = message.method === PeerMethod.LedgerClaim && !message.isReply && message.to === 'c'
    if (isLate) sent.push(message)
    return isLate ? undefined : PROMPT_DELIVERY
  }
  await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))
  await fixture.advanceUntilSettled(ledger.release(key))
  const { callPeer } = fixture.network.start('z')
  fixture.network.route = () => PROMPT_DELIVERY
  const late = await fixture.advanceUntilSettled(callPeer<ClaimReply>('c', PeerMethod.LedgerClaim, sent[0]!.parameters, 100))
  assert.equal(late.verdict, ClaimVerdict.Withdrawn)
  const fresh = { ...sent[0]!.parameters as ClaimParameters, claim: 'fresh' }
  for (let copy = 0; copy < 2; copy++) {
    assert.equal((await fixture.advanceUntilSettled(callPeer<ClaimReply>('c', PeerMethod.LedgerClaim, fresh, 100))).verdict, ClaimVerdict.Acknowledged)
  }
  await fixture.advance(1_000)
  assert.equal(fixture.counters.read('ledger.member.records'), 1)
})

test('an acknowledgement from before a restart is not counted once another member knows of the restart', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const [ledger, other] = [fixture.createClaimant('x'), fixture.createClaimant('y')]
  const key = (await fixture.createKey(ledger))!
  const isClaimOf = (message: Message, claimant: string): boolean => message.method === PeerMethod.LedgerClaim && !message.isReply && message.from === claimant
  fixture.network.route = (message) => {
    if (isClaimOf(message, 'x') && message.to === 'a') return { delayMilliseconds: 350, copies: 1 }
    if (isClaimOf(message, 'x') && message.to === 'b') return undefined
    if (message.from === 'y' && message.to === 'a') return undefined
    return PROMPT_DELIVERY
  }
  const slow = fixture.send(ledger, key)
  await fixture.advance(20)
  fixture.startMember('c')
  await fixture.advance(300)
  const quick = await fixture.advanceUntilSettled(fixture.send(other, key))
  await fixture.advanceUntilSettled(slow)
  assert.equal(quick.result, ClaimResult.Granted)
  assert.equal(fixture.runs.get(key), 1)
})

for (const clockLagMilliseconds of [4_000, 0, -4_000]) {
  test(`a key that ran is never granted again to a host whose clock is ${clockLagMilliseconds} ms behind`, async (context) => {
    const fixture = new LedgerFixture(context, 3)
    await fixture.startAll()
    const ledger = fixture.createClaimant('x')
    const key = (await fixture.createKey(ledger))!
    await fixture.advanceUntilSettled(fixture.send(ledger, key))
    const expiry = parseInt(key.split('.')[2]!, 36)
    await fixture.advance(expiry - Date.now() - 10_000, 500)
    for (let step = 0; step < 30; step++) {
      const now = Date.now.bind(Date)
      const mocked = context.mock.method(Date, 'now', () => now() - clockLagMilliseconds)
      const claiming = ledger.claim(key, 'digest')
      mocked.mock.restore()
      const { result } = await fixture.advanceUntilSettled(claiming)
      assert.ok([ClaimResult.Answered, ClaimResult.Conflict, ClaimResult.Expired].includes(result), result)
      await fixture.advance(1_000, 100)
    }
    assert.equal((await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))).result, ClaimResult.Expired)
    assert.equal(fixture.runs.get(key), 1)
  })
}

test('a full member refuses new claims, keeps the old ones, and accepts new ones after those have expired', async (context) => {
  const fixture = new LedgerFixture(context, 3, 1, { records: 5 })
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  const keys: string[] = []
  for (let count = 0; count < 5; count++) keys.push((await fixture.createKey(ledger))!)
  for (const key of keys) assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, ClaimResult.Granted)
  const refused = await fixture.advanceUntilSettled(fixture.send(ledger, (await fixture.createKey(ledger))!))
  assert.deepEqual([refused.result, refused.mayHaveRun], [ClaimResult.NoQuorum, false])
  for (const key of keys) assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, ClaimResult.Answered)
  await fixture.advance(200_000, 500)
  assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, (await fixture.createKey(ledger))!))).result, ClaimResult.Granted)
})

test('an answer that is too large is not stored, and the outcome of a resend is unknown', async (context) => {
  const fixture = new LedgerFixture(context, 3, 1, { oneAnswerBytes: 100 })
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  const key = (await fixture.createKey(ledger))!
  await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))
  await fixture.advanceUntilSettled(ledger.complete(key, { ...ANSWER, body: 'A'.repeat(101) }))
  assert.equal((await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))).result, ClaimResult.Unknown)
})

const INVALID_KEYS = [
  { name: 'no guest key', change: (key: string) => key.split('.').slice(0, 5).join('.') },
  { name: 'another domain', change: (key: string) => key.replace('bilbao', 'gijon') },
  { name: 'a later expiry', change: (key: string) => key.replace(/^([^.]+\.[^.]+\.)./, '$1z') },
  { name: 'no ticket', change: () => 'booking-1' },
  { name: 'a key of too many characters', change: (key: string) => key + 'x'.repeat(300) },
  { name: 'a shortened signature', change: (key: string) => key.replace(/.\.booking/, '.booking') }
]
for (const { name, change } of INVALID_KEYS) {
  test(`a key is refused without a call: ${name}`, async (context) => {
    const fixture = new LedgerFixture(context, 1)
    await fixture.startAll()
    const ledger = fixture.createClaimant('x')
    const key = change((await fixture.createKey(ledger))!)
    const { result, mayHaveRun } = await ledger.claim(key, 'digest')
    assert.deepEqual([result, mayHaveRun], [ClaimResult.InvalidTicket, false])
  })
}

test('each prefix is unique', async (context) => {
  const fixture = new LedgerFixture(context, 1)
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  await fixture.advanceUntilSettled(ledger.checkQuorum())
  const prefixes = Array.from({ length: 1_000 }, () => ledger.ticketPrefix())
  assert.equal(new Set(prefixes).size, 1_000)
})
