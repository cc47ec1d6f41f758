import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { GossipQueue } from '../../src/membership/GossipQueue.js'
import { RecordComparison, MemberTable } from '../../src/membership/MemberTable.js'
import { mergeMember } from '../../src/membership/mergeMember.js'
import { rankByRendezvous } from '../../src/utils/rankByRendezvous.js'
import type { Member } from '../../src/types/Member.js'
import { MemberState } from '../../src/types/MemberState.js'

const SEED = 20261204

/** Derives the details from incarnation and version, as a host never publishes different details under the same version. */
function makeMember (name: string, incarnation: number, version: number, state: MemberState): Member {
  const host = { name, domain: 'oviedo', region: 'asturias', peerAddress: `${name}:1`, guestAddress: `${name}:2` }
  return { host, incarnation, version, state, details: { draining: false, sheetNumber: incarnation * 100 + version, pools: [] } }
}

const arbitraryRecord = fc.tuple(fc.integer({ min: 1, max: 3 }), fc.integer({ min: 1, max: 3 }), fc.constantFrom(...Object.values(MemberState)))
  .map(([incarnation, version, state]) => makeMember('a', incarnation, version, state))

test('merging records is commutative, associative and idempotent', () => {
  fc.assert(fc.property(arbitraryRecord, arbitraryRecord, arbitraryRecord, (one, two, three) => {
    assert.deepEqual(mergeMember(one, two), mergeMember(two, one))
    assert.deepEqual(mergeMember(mergeMember(one, two), three), mergeMember(one, mergeMember(two, three)))
    assert.equal(mergeMember(one, one), one)
  }), { seed: SEED, numRuns: 500 })
})

test('a lower incarnation never overrides a higher one, regardless of state and version', () => {
  fc.assert(fc.property(arbitraryRecord, arbitraryRecord, (one, two) => {
    fc.pre(one.incarnation < two.incarnation)
    assert.equal(mergeMember(two, one), two)
    assert.equal(mergeMember(one, two), two)
  }), { seed: SEED })
})

test('equal tables have equal hashes, and a changed state, version or incarnation changes the hash', () => {
  const stored = makeMember('a', 2, 2, MemberState.Alive)
  const makeTable = (...members: Member[]): MemberTable => {
    const table = new MemberTable(() => {})
    for (const member of members) table.apply(member)
    return table
  }
  const hash = makeTable(stored, makeMember('b', 1, 1, MemberState.Alive)).hashDomain('oviedo')
  assert.equal(makeTable(makeMember('b', 1, 1, MemberState.Alive), stored).hashDomain('oviedo'), hash)
  for (const changed of [{ version: 3 }, { incarnation: 3 }, { state: MemberState.Suspect }, { state: MemberState.Dead }]) {
    assert.notEqual(makeTable({ ...stored, ...changed }, makeMember('b', 1, 1, MemberState.Alive)).hashDomain('oviedo'), hash)
  }
})

test('the death of an unknown host is ignored, and an outdated record does not replace a newer one', () => {
  const table = new MemberTable(() => {})
  assert.equal(table.apply(makeMember('a', 1, 1, MemberState.Dead)), RecordComparison.Same)
  assert.equal(table.size, 0)
  assert.equal(table.apply(makeMember('a', 2, 1, MemberState.Dead)), RecordComparison.Same)
  assert.equal(table.apply(makeMember('a', 3, 1, MemberState.Alive)), RecordComparison.Newer)
  assert.equal(table.apply(makeMember('a', 2, 9, MemberState.Left)), RecordComparison.Older)
  assert.equal(table.getMember('a')?.incarnation, 3)
})

test('version lists are bounded in size, and their ranges together cover all names', () => {
  const table = new MemberTable(() => {})
  for (let index = 100; index < 300; index++) table.apply(makeMember(`h${index}`, 1, 1, MemberState.Alive))
  const seen = new Set<string>()
  for (const offset of [0, 0.3, 0.6, 0.99]) {
    const range = table.listVersions('oviedo', offset)
    assert.ok(range.entries.length <= 80)
    for (const entry of range.entries) {
      seen.add(entry.name)
      assert.ok((range.after === undefined || entry.name > range.after) && (range.before === undefined || entry.name < range.before))
    }
  }
  assert.equal(seen.size, 200)
})

test('each change is sent a bounded number of times, within the maximum message size', () => {
  const queue = new GossipQueue()
  for (let index = 0; index < 50; index++) queue.add(`h${index}`, index % 2 === 0)
  const counts = new Map<string, number>()
  while (queue.size > 0) {
    const taken = queue.takeNames(1000, 16, () => 300)
    assert.ok(taken.length >= 1 && taken.length <= 3)
    for (const name of taken) counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  assert.equal(counts.size, 50)
  assert.deepEqual([...counts].filter(([, count]) => count !== 7 && count !== 3), [])
  assert.equal([...counts.values()].filter((count) => count === 7).length, 25)
})

test('removing a name does not change the rendezvous order of the others', () => {
  const names = Array.from({ length: 20 }, (_, index) => `host-${index}`)
  const ranked = rankByRendezvous('inventario', names)
  assert.deepEqual(rankByRendezvous('inventario', names.filter((name) => name !== ranked[0])), ranked.slice(1))
})
