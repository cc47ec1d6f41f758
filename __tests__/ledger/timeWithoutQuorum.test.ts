import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LedgerFixture } from './LedgerFixture.js'

const OBSERVED_MILLISECONDS = 10_000

/** Maximum time after each fault in which no new ticket of a working epoch is issued, in milliseconds. */
const FAULTS = [
  { name: 'the whole deployment starts', members: 3, maximumMilliseconds: 1_000, fault: (fixture: LedgerFixture) => { for (const host of fixture.hosts) fixture.startMember(host) } },
  { name: 'all of three restart', members: 3, maximumMilliseconds: 2_000, fault: (fixture: LedgerFixture) => { for (const host of fixture.hosts) fixture.startMember(host) } },
  { name: 'one of three restarts', members: 3, maximumMilliseconds: 0, fault: (fixture: LedgerFixture) => { fixture.startMember('a') } },
  { name: 'one of three is lost', members: 3, maximumMilliseconds: 0, fault: (fixture: LedgerFixture) => { fixture.stopMember('a') } },
  { name: 'two of three restart', members: 3, maximumMilliseconds: 2_000, fault: (fixture: LedgerFixture) => { fixture.startMember('a'); fixture.startMember('b') } },
  { name: 'two of three are lost', members: 3, maximumMilliseconds: 2_000, fault: (fixture: LedgerFixture) => { fixture.stopMember('a'); fixture.stopMember('b') } },
  { name: 'one of two restarts', members: 2, maximumMilliseconds: 1_000, fault: (fixture: LedgerFixture) => { fixture.startMember('a') } },
  { name: 'one of two is lost', members: 2, maximumMilliseconds: 2_000, fault: (fixture: LedgerFixture) => { fixture.stopMember('a') } },
  { name: 'the only host restarts', members: 1, maximumMilliseconds: 1_000, fault: (fixture: LedgerFixture) => { fixture.startMember('a') } }
]
for (const { name, members, maximumMilliseconds, fault } of FAULTS) {
  test(`tickets are issued again within ${maximumMilliseconds} ms: ${name}`, async (context) => {
    const fixture = new LedgerFixture(context, members)
    if (name !== 'the whole deployment starts') await fixture.startAll()
    await fixture.advance(5_000, 50)
    const ledger = fixture.createClaimant('x')
    fault(fixture)
    const startedAt = performance.now()
    let lastWithoutTicketAt = startedAt
    while (performance.now() - startedAt < OBSERVED_MILLISECONDS) {
      const checkedAt = performance.now()
      if (await fixture.createKey(ledger) === undefined) lastWithoutTicketAt = checkedAt
      await fixture.advance(50, 50)
    }
    context.diagnostic(`${lastWithoutTicketAt - startedAt} ms`)
    assert.ok(lastWithoutTicketAt - startedAt <= maximumMilliseconds)
  })
}
