import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ClaimResult } from '../../src/ledger/ClaimLedger.js'
import { applyRecoveryReadings } from '../../src/ledger/applyReadings.js'
import { StoreUsage } from '../../src/ledger/ClaimStore.js'
import { EpochState } from '../../src/ledger/Epoch.js'
import { LedgerEpoch } from '../../src/ledger/LedgerEpoch.js'
import { DEFAULT_LEDGER_LIMITS } from '../../src/ledger/LedgerLimits.js'
import { ClaimVerdict, type ClaimReply, type PageReply } from '../../src/ledger/LedgerMessages.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { ANSWER, LedgerFixture } from './LedgerFixture.js'

type Fault = (fixture: LedgerFixture) => Promise<void>

/** Expected result of a resend of a key after its action ran and a fault occurred. */
const AFTER_A_RUN: Array<{ name: string, members: number, fault: Fault, expected: ClaimResult }> = [
  { name: 'no fault', members: 3, fault: async () => {}, expected: ClaimResult.Answered },
  { name: 'a member restarts', members: 3, fault: async (fixture) => { fixture.startMember('b'); await fixture.advance(1_000) }, expected: ClaimResult.Answered },
  { name: 'each member restarts in turn', members: 3, fault: async (fixture) => { for (const host of fixture.hosts) { fixture.startMember(host); await fixture.advance(1_000) } }, expected: ClaimResult.Answered },
  { name: 'a member of two restarts', members: 2, fault: async (fixture) => { fixture.startMember('a'); await fixture.advance(1_000) }, expected: ClaimResult.Answered },
  { name: 'a member is lost', members: 3, fault: async (fixture) => { fixture.stopMember('a'); await fixture.advance(1_000) }, expected: ClaimResult.Answered },
  { name: 'a member is lost for good', members: 3, fault: async (fixture) => { fixture.stopMember('a'); await fixture.advance(15_000) }, expected: ClaimResult.Answered },
  { name: 'a member is lost for good, then another restarts', members: 3, fault: async (fixture) => { fixture.stopMember('a'); await fixture.advance(15_000); fixture.startMember('b'); await fixture.advance(2_000) }, expected: ClaimResult.Answered },
  { name: 'a member is lost, and another restarts before the epoch is sealed', members: 3, fault: async (fixture) => { fixture.stopMember('a'); fixture.startMember('b'); await fixture.advance(5_000) }, expected: ClaimResult.Answered },
  { name: 'two members are lost', members: 3, fault: async (fixture) => { fixture.stopMember('a'); fixture.stopMember('b'); await fixture.advance(15_000) }, expected: ClaimResult.Answered },
  { name: 'two members restart at once', members: 3, fault: async (fixture) => { fixture.startMember('a'); fixture.startMember('b'); await fixture.advance(5_000) }, expected: ClaimResult.Answered },
  { name: 'all members restart at once', members: 3, fault: async (fixture) => { await fixture.startAll() }, expected: ClaimResult.Unknown },
  { name: 'the only member restarts', members: 1, fault: async (fixture) => { await fixture.startAll() }, expected: ClaimResult.Unknown }
]
for (const { name, members, fault, expected } of AFTER_A_RUN) {
  test(`after a run and this fault, a resend is ${expected}: ${name}`, async (context) => {
    const fixture = new LedgerFixture(context, members)
    await fixture.startAll()
    const ledger = fixture.createClaimant('x')
    const key = (await fixture.createKey(ledger))!
    assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, ClaimResult.Granted)
    await fixture.advance(100)
    await fault(fixture)
    const resent = await fixture.advanceUntilSettled(fixture.send(fixture.createClaimant('y'), key))
    assert.equal(resent.result, expected)
    assert.equal(resent.mayHaveRun, true)
    assert.deepEqual(resent.answer, expected === ClaimResult.Answered ? ANSWER : undefined)
    assert.equal(fixture.runs.get(key), 1)
  })
}

/** Expected result of the first send of a key after a fault; `mayHaveRun` is false if the guest may be told that it did not run. */
const BEFORE_A_RUN: Array<{ name: string, members: number, fault: Fault, expected: ClaimResult, mayHaveRun: boolean }> = [
  { name: 'a member restarts', members: 3, fault: async (fixture) => { fixture.startMember('b') }, expected: ClaimResult.Granted, mayHaveRun: false },
  { name: 'one of two members is lost', members: 2, fault: async (fixture) => { fixture.stopMember('b') }, expected: ClaimResult.NoQuorum, mayHaveRun: false },
  { name: 'two members are lost', members: 3, fault: async (fixture) => { fixture.stopMember('a'); fixture.stopMember('b') }, expected: ClaimResult.NoQuorum, mayHaveRun: true },
  { name: 'a member is lost and the epoch sealed', members: 3, fault: async (fixture) => { fixture.stopMember('a'); await fixture.advance(15_000) }, expected: ClaimResult.Sealed, mayHaveRun: false },
  { name: 'one of two members is lost and the epoch sealed', members: 2, fault: async (fixture) => { fixture.stopMember('a'); await fixture.advance(20_000) }, expected: ClaimResult.Sealed, mayHaveRun: false },
  { name: 'all members restart at once', members: 3, fault: async (fixture) => { await fixture.startAll() }, expected: ClaimResult.Unknown, mayHaveRun: true },
  { name: 'the ticket expires', members: 3, fault: async (fixture) => { await fixture.advance(180_000, 200) }, expected: ClaimResult.Expired, mayHaveRun: true }
]
for (const { name, members, fault, expected, mayHaveRun } of BEFORE_A_RUN) {
  test(`after this fault, a first send is ${expected}: ${name}`, async (context) => {
    const fixture = new LedgerFixture(context, members)
    await fixture.startAll()
    const ledger = fixture.createClaimant('x')
    const key = (await fixture.createKey(ledger))!
    await fault(fixture)
    const answer = await fixture.advanceUntilSettled(fixture.send(ledger, key))
    assert.equal(answer.result, expected)
    assert.equal(answer.mayHaveRun, mayHaveRun)
    assert.equal(fixture.runs.get(key) ?? 0, expected === ClaimResult.Granted ? 1 : 0)
  })
}

for (const members of [2, 3]) {
  test(`a member that restarts between claim and outcome stores the outcome: ${members} members`, async (context) => {
    const fixture = new LedgerFixture(context, members)
    await fixture.startAll()
    const [ledger, other] = [fixture.createClaimant('x'), fixture.createClaimant('y')]
    const key = (await fixture.createKey(ledger))!
    assert.equal((await fixture.advanceUntilSettled(ledger.claim(key, 'digest'))).isStillValid(), true)
    fixture.startMember('a')
    const early = await fixture.advanceUntilSettled(other.claim(key, 'digest'))
    assert.ok([ClaimResult.Running, ClaimResult.NoQuorum].includes(early.result) && early.mayHaveRun, early.result)
    await fixture.advanceUntilSettled(ledger.complete(key, ANSWER))
    fixture.stopMember('b')
    await fixture.advance(500)
    assert.deepEqual(await fixture.advanceUntilSettled(other.claim(key, 'digest').then(({ answer }) => answer)), ANSWER)
  })
}

test('both sides of a network partition seal their epoch, and neither runs a key of it', async (context) => {
  const fixture = new LedgerFixture(context, 2)
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  const key = (await fixture.createKey(ledger))!
  fixture.network.route = ({ from, to }) => ['a,b', 'b,a', 'x,b', 'b,x', 'y,a', 'a,y'].includes(`${from},${to}`) ? undefined : { delayMilliseconds: 1, copies: 1 }
  await fixture.advance(20_000)
  const states = [...fixture.members.values()].map((member) => member.status().epochs.map(({ state }) => state))
  assert.deepEqual(states, [[EpochState.Sealed, EpochState.Active], [EpochState.Sealed, EpochState.Active]])
  assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, ClaimResult.Sealed)
  assert.equal((await fixture.advanceUntilSettled(fixture.send(fixture.createClaimant('y'), key))).result, ClaimResult.Sealed)
  assert.equal(fixture.runs.size, 0)
})

test('a complete deployment issues tickets within 2 s of its start', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  assert.notEqual(await fixture.createKey(fixture.createClaimant('x')), undefined)
})

test('two of three hosts open an epoch of two, and a new epoch includes the third when it starts', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  fixture.startMember('b')
  fixture.startMember('c')
  await fixture.advance(2_000)
  const ledger = fixture.createClaimant('x')
  const early = (await fixture.createKey(ledger))!
  fixture.startMember('a')
  await fixture.advance(8_000)
  const late = (await fixture.createKey(ledger))!
  assert.notEqual(early.split('.')[1], late.split('.')[1])
  assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, early))).result, ClaimResult.Granted)
  assert.deepEqual(fixture.members.get('a')!.status().epochs.map(({ epoch }) => epoch.members.length), [3])
})

test('no ticket is issued while the ledger has no quorum', async (context) => {
  const fixture = new LedgerFixture(context, 2)
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  assert.notEqual(await fixture.createKey(ledger), undefined)
  fixture.stopMember('a')
  assert.equal(await fixture.createKey(ledger), undefined)
  await fixture.advance(5_000)
  assert.notEqual(await fixture.createKey(ledger), undefined)
})

test('a message that opened an epoch for an earlier start of a member is refused', async (context) => {
  const fixture = new LedgerFixture(context, 2)
  let late: object | undefined
  fixture.network.route = ({ method, parameters, isReply }) => {
    if (method === PeerMethod.LedgerOpen && !isReply) late = parameters
    return { delayMilliseconds: 1, copies: 1 }
  }
  await fixture.startAll()
  fixture.startMember('a')
  fixture.startMember('b')
  const { callPeer } = fixture.network.start('z')
  assert.deepEqual(await fixture.advanceUntilSettled(callPeer('b', PeerMethod.LedgerOpen, late!, 100)), { opened: false })
})

test('a member that receives a seal call accepts no claim after it returned its records', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const { epoch } = fixture.members.get('b')!.status().epochs[0]!
  const { callPeer } = fixture.network.start('z')
  const reader = { address: 'a', incarnation: 0 }
  const page = await fixture.advanceUntilSettled(callPeer<PageReply>('b', PeerMethod.LedgerSeal, { epoch: epoch.id, reader, after: 0 }, 100))
  assert.deepEqual([page.state, page.records], [EpochState.Sealing, []])
  const claim = { epoch: epoch.id, key: 'k', claim: 'c', bodyDigest: 'd', expiresAt: Date.now() + 10_000, runMilliseconds: 1_000 }
  const reply = await fixture.advanceUntilSettled(callPeer<ClaimReply>('b', PeerMethod.LedgerClaim, claim, 100))
  assert.equal(reply.verdict, ClaimVerdict.Sealing)
})

test('two overlapping recoveries neither reopen a sealed epoch nor count readings for an older incarnation', () => {
  const members = ['a', 'b'].map((address) => ({ address, incarnation: 5 }))
  const create = (): LedgerEpoch => new LedgerEpoch({ id: 'e', members }, { address: 'a', incarnation: 6 }, EpochState.Recovering, new StoreUsage(DEFAULT_LEDGER_LIMITS))
  const reading = { member: 'b', incarnations: members, state: EpochState.Active, records: [] }
  const sealed = create()
  assert.equal(applyRecoveryReadings(sealed, sealed.self, [reading]), true)
  sealed.changeState(EpochState.Sealing)
  assert.equal(applyRecoveryReadings(sealed, sealed.self, [reading]), false)
  assert.equal(sealed.state, EpochState.Sealing)
  const raised = create()
  const readAs = raised.self
  const knowing = { ...reading, incarnations: [{ address: 'a', incarnation: 9 }] }
  for (let attempt = 0; attempt < 2; attempt++) assert.equal(applyRecoveryReadings(raised, readAs, [knowing]), false)
  assert.equal(applyRecoveryReadings(raised, raised.self, [knowing]), true)
})

test('a member that restarts with its clock set back takes a higher incarnation and recovers', async (context) => {
  const fixture = new LedgerFixture(context, 3)
  await fixture.startAll()
  const before = fixture.members.get('b')!.status()
  const now = Date.now()
  const mocked = context.mock.method(Date, 'now', () => now - 60_000)
  fixture.startMember('b')
  mocked.mock.restore()
  await fixture.advance(2_000)
  const after = fixture.members.get('b')!.status()
  assert.ok(after.incarnation < before.incarnation)
  assert.equal(after.epochs[0]!.state, EpochState.Active)
  const { callPeer } = fixture.network.start('z')
  const claim = { epoch: before.epochs[0]!.epoch.id, key: 'k', claim: 'c', bodyDigest: 'd', expiresAt: Date.now() + 10_000, runMilliseconds: 1_000 }
  const reply = await fixture.advanceUntilSettled(callPeer<ClaimReply>('b', PeerMethod.LedgerClaim, claim, 100))
  assert.ok(reply.incarnations.find(({ address }) => address === 'b')!.incarnation > before.incarnation)
})

for (const members of [1, 2, 3]) {
  test(`a planned stop of one of ${members} member(s) loses no answer`, async (context) => {
    const fixture = new LedgerFixture(context, members)
    await fixture.startAll()
    const ledger = fixture.createClaimant('x')
    const key = (await fixture.createKey(ledger))!
    await fixture.advanceUntilSettled(fixture.send(ledger, key))
    const startedAt = performance.now()
    const leaving = fixture.hosts[0]!
    assert.equal(await fixture.advanceUntilSettled(fixture.members.get(leaving)!.leave(5_000)), true)
    assert.ok(performance.now() - startedAt < 3_000)
    fixture.stopMember(leaving)
    await fixture.advance(1_000)
    const expected = members === 1 ? ClaimResult.NoQuorum : ClaimResult.Answered
    assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, expected)
    assert.equal(await fixture.createKey(ledger) === undefined, members === 1)
  })
}

test('planned restarts of both of two hosts in turn lose no answer', async (context) => {
  const fixture = new LedgerFixture(context, 2)
  await fixture.startAll()
  const ledger = fixture.createClaimant('x')
  const keys: string[] = []
  for (const host of [...fixture.hosts, ...fixture.hosts]) {
    await fixture.advanceUntilSettled(fixture.members.get(host)!.leave(5_000))
    fixture.stopMember(host)
    await fixture.advance(500)
    keys.push((await fixture.createKey(ledger))!)
    assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, keys.at(-1)!))).result, ClaimResult.Granted)
    fixture.startMember(host)
    await fixture.advance(2_000)
  }
  for (const key of keys) assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, ClaimResult.Answered)
})

test('claims of an epoch with fewer members are copied to all once a larger epoch is open', async (context) => {
  const fixture = new LedgerFixture(context, 2)
  fixture.startMember('a')
  await fixture.advance(4_000)
  const ledger = fixture.createClaimant('x')
  const key = (await fixture.createKey(ledger))!
  await fixture.advanceUntilSettled(fixture.send(ledger, key))
  fixture.startMember('b')
  await fixture.advance(20_000)
  fixture.startMember('a')
  await fixture.advance(2_000)
  assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, ClaimResult.Answered)
})

test('a new epoch sorts after the discarded ones, even when all clocks were set back', async (context) => {
  const fixture = new LedgerFixture(context, 2, 1, {}, { ticketMilliseconds: 1_000, ticketCheckMilliseconds: 1_000 })
  await fixture.startAll()
  const old = fixture.members.get('a')!.status().epochs[0]!.epoch.id
  fixture.stopMember('b')
  await fixture.advance(60_000, 100)
  assert.ok(fixture.members.get('a')!.status().droppedThrough >= old)
  const now = Date.now.bind(Date)
  context.mock.method(performance, 'now', now)
  context.mock.method(Date, 'now', () => now() - 600_000)
  fixture.startMember('b')
  await fixture.advance(8_000)
  const ledger = fixture.createClaimant('x')
  const key = (await fixture.createKey(ledger))!
  assert.equal((await fixture.advanceUntilSettled(fixture.send(ledger, key))).result, ClaimResult.Granted)
  assert.equal(fixture.members.get('b')!.status().epochs.at(-1)!.epoch.members.length, 2)
})
