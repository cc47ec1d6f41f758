import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberState, type Member } from '../../src/hibiscusrelay.js'
import type { EntryHostQuery } from '../../src/steering/EntryHostQuery.js'
import { orderEntryHosts } from '../../src/steering/orderEntryHosts.js'
import { createMember } from './createMember.js'
import { createSheet, type SheetOptions } from './createSheet.js'

const LIFETIME_SECONDS = 3

function orderHosts (members: Member[], changes: Partial<EntryHostQuery> = {}, sheetOptions: SheetOptions = {}) {
  return orderEntryHosts({ sheet: createSheet(sheetOptions), service: 'desk', guestPlace: 'a1', self: createMember('b1-1').host, members, key: 'guest', lifetimeSeconds: LIFETIME_SECONDS, ...changes })
}

interface OrderCase {
  name: string
  members: Member[]
  changes?: Partial<EntryHostQuery>
  sheetOptions?: SheetOptions
  hosts: string[]
  lifetimeSeconds: number
}

const suspect = { state: MemberState.Suspect }
const dead = { state: MemberState.Dead }

const CASES: OrderCase[] = [
  { name: 'the failure domain of the guest comes first, then its region, then the others', members: [createMember('c1-1'), createMember('a2-1'), createMember('a1-1')], hosts: ['a1-1', 'a2-1', 'c1-1'], lifetimeSeconds: 3 },
  { name: 'guests of no block are located at the queried host', members: [createMember('c1-1'), createMember('a1-1'), createMember('b1-1'), createMember('b2-1')], changes: { guestPlace: undefined, members: [createMember('a1-1'), createMember('b1-1'), createMember('b2-1')] }, hosts: ['b1-1', 'b2-1', 'a1-1'], lifetimeSeconds: 3 },
  { name: 'stopping, suspected, dead and left hosts are absent', members: [createMember('a1-1', suspect), createMember('a1-2', {}, true), createMember('a1-3', dead), createMember('a1-4', { state: MemberState.Left }), createMember('c1-1')], hosts: ['c1-1'], lifetimeSeconds: 1 },
  { name: 'hosts of a draining place are absent', members: [createMember('a1-1'), createMember('a2-1')], sheetOptions: { draining: ['a1'] }, hosts: ['a2-1'], lifetimeSeconds: 3 },
  { name: 'without usable hosts, the others are ordered by availability', members: [createMember('a1-4', { state: MemberState.Left }), createMember('a1-3', dead), createMember('a1-2', {}, true), createMember('c1-1', suspect), createMember('a1-1', suspect), createMember('a2-1')], sheetOptions: { draining: ['a2'] }, hosts: ['a2-1', 'a1-1', 'c1-1', 'a1-2', 'a1-3'], lifetimeSeconds: 1 },
  { name: 'without any host the list is empty', members: [], hosts: [], lifetimeSeconds: 3 },
  { name: 'a failure domain without hosts is not degraded', members: [createMember('c1-1')], hosts: ['c1-1'], lifetimeSeconds: 3 }
]

for (const { name, members, changes, sheetOptions, hosts, lifetimeSeconds } of CASES) {
  test(`entry hosts: ${name}`, () => {
    const answer = orderHosts(members, changes, sheetOptions)
    assert.deepEqual(answer.hosts.map((host) => host.name), hosts)
    assert.equal(answer.lifetimeSeconds, lifetimeSeconds)
  })
}

test('only hosts of the nearest tier have weight, and each tier has at most four hosts', () => {
  const members = ['a1', 'a2', 'b1'].flatMap((domain) => Array.from({ length: 6 }, (_, index) => createMember(`${domain}-${index}`)))
  const { hosts } = orderHosts(members)
  assert.deepEqual(hosts.map(({ weight }) => weight), [1, 1, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0])
  assert.equal(hosts[0]!.address, `127.0.0.1:2${hosts[0]!.name}`)
})

test('guests spread over the hosts, and keep their first host when another one is lost', () => {
  const members = ['a1-1', 'a1-2', 'a1-3'].map((name) => createMember(name))
  const firstOf = (key: string, known: Member[]) => orderHosts(known, { key }).hosts[0]!.name
  const keys = Array.from({ length: 600 }, (_, index) => `guest-${index}`)
  const counts = new Map<string, number>()
  for (const key of keys) counts.set(firstOf(key, members), (counts.get(firstOf(key, members)) ?? 0) + 1)
  for (const member of members) assert.ok(Math.abs(counts.get(member.host.name)! - 200) < 60, JSON.stringify([...counts]))
  for (const key of keys) {
    const first = firstOf(key, members)
    if (first !== 'a1-3') assert.equal(firstOf(key, members.slice(0, 2)), first)
  }
})
