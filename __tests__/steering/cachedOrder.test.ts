import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { EntryHostOrder, listPoolCandidates, MemberState, OwnerChooser, PlaceState, tierOf, type EntryHostQuery, type Member, type PoolSummary } from '../../src/hibiscusrelay.js'
import { classifyAvailability, HostAvailability } from '../../src/steering/HostAvailability.js'
import { hashKey, computeScore } from '../../src/steering/RendezvousItems.js'
import { hashText } from '../../src/utils/hashText.js'
import { hasSameEntryHosts } from '../../src/steering/hasSameEntryHosts.js'
import { createMember } from './createMember.js'
import { PLACES, createSheet } from './createSheet.js'

const SEED = 20261204
const RUN_COUNT = 150
const NAMES = PLACES.flatMap((place) => Array.from({ length: 5 }, (_, index) => `${place}-${index}`))

/** A change between two lookups: a member joins, goes or changes its details, or the sheet changes. */
interface Change {
  name: string
  gone: boolean
  state: MemberState
  draining: boolean
  sheetNumber: number
  upstreams: number
  drainedPlaces: string[] | undefined
  key: string
}

const changeSequences: fc.Arbitrary<Change[]> = fc.array(fc.record({
  name: fc.constantFrom(...NAMES),
  gone: fc.boolean(),
  state: fc.constantFrom(...Object.values(MemberState)),
  draining: fc.boolean(),
  sheetNumber: fc.constantFrom(0, 1),
  upstreams: fc.constantFrom(0, 2),
  drainedPlaces: fc.option(fc.subarray(PLACES, { maxLength: PLACES.length - 1 }), { nil: undefined }),
  key: fc.string()
}), { minLength: 1, maxLength: 30 })

function applyChange (members: Member[], { name, gone, state, draining, sheetNumber, upstreams }: Change): Member[] {
  if (gone) return members.filter(({ host }) => host.name !== name)
  const pools: PoolSummary[] = [{ service: 'desk', upstreams, slots: 6, freeSlots: 6 }]
  const changed = createMember(name, { state, details: { draining, sheetNumber, pools } })
  const isKnown = members.some(({ host }) => host.name === name)
  return isKnown ? members.map((member) => member.host.name === name ? changed : member) : [...members, changed]
}

/** Orders all hosts without a cache or an index, as a reference for the test. */
function orderFresh ({ members, sheet, guestPlace, key }: EntryHostQuery): string[] {
  const membersWithSheet = members.some(({ details }) => details.sheetNumber > 0) ? members.filter(({ details }) => details.sheetNumber > 0) : members
  const drainingPlaces = new Set(PLACES.filter((place) => sheet.places.get(place)?.state === PlaceState.Draining))
  const home = { domain: guestPlace!, region: guestPlace![0]! }
  const ranked = membersWithSheet
    .map((member) => ({ name: member.host.name, fitness: classifyAvailability(member, drainingPlaces), tier: tierOf(home, member.host), score: computeScore(hashKey(key), hashText(member.host.name)) }))
    .filter(({ fitness }) => fitness !== HostAvailability.Left)
    .sort((left, right) => left.fitness - right.fitness || left.tier - right.tier || right.score - left.score)
  const offered = ranked.filter(({ fitness }) => fitness === HostAvailability.Usable || ranked[0]!.fitness !== HostAvailability.Usable)
  const groupOf = ({ fitness, tier }: typeof ranked[number]): string => `${fitness}.${tier}`
  return offered.filter((host, index) => offered.slice(0, index).filter((other) => groupOf(other) === groupOf(host)).length < 4).map(({ name }) => name)
}

test('the cached order of entry hosts equals a new one after each change', () => {
  fc.assert(fc.property(changeSequences, fc.constantFrom(...PLACES), (sequence, guestPlace) => {
    const cached = new EntryHostOrder()
    let members = PLACES.map((place) => createMember(`${place}-0`))
    let sheet = createSheet()
    for (const change of sequence) {
      members = applyChange(members, change)
      if (change.drainedPlaces !== undefined) sheet = createSheet({ draining: change.drainedPlaces })
      const query = { sheet, service: 'desk', guestPlace, self: createMember('b1-1').host, members, key: change.key, lifetimeSeconds: 3 }
      for (const key of [change.key, `${change.key}+`]) {
        assert.deepEqual(cached.order({ ...query, key }).hosts.map(({ name }) => name), orderFresh({ ...query, key }))
      }
      assert.deepEqual(cached.order(query), new EntryHostOrder().order(query))
    }
  }), { seed: SEED, numRuns: RUN_COUNT })
})

test('the cached pools of a service equal a new list after each change', () => {
  fc.assert(fc.property(changeSequences, (sequence) => {
    let members = PLACES.map((place) => createMember(`${place}-0`))
    let sheet = createSheet()
    const chooser = new OwnerChooser({ self: createMember('a1-9').host, members: () => members, currentSheet: () => sheet, random: () => 0 })
    for (const change of sequence) {
      members = applyChange(members, change)
      if (change.drainedPlaces !== undefined) sheet = createSheet({ draining: change.drainedPlaces })
      const owners = (): string[] => chooser.explain('desk', 'a1').pools.map(({ owner, place }) => `${owner} ${place}`)
      const fresh = listPoolCandidates(members, sheet, 'desk').map(({ owner, place }) => `${owner} ${place}`)
      assert.deepEqual(owners(), fresh)
      assert.deepEqual(owners(), fresh)
    }
  }), { seed: SEED, numRuns: RUN_COUNT })
})

const HOST = createMember('a1-1')
const DETAILS = HOST.details
const RELEVANT_CHANGES: Array<[string, Member]> = [
  ['the member state', { ...HOST, state: MemberState.Suspect }],
  ['draining', { ...HOST, details: { ...DETAILS, draining: true } }],
  ['whether a host has a sheet', { ...HOST, details: { ...DETAILS, sheetNumber: 0 } }],
  ...(['name', 'domain', 'region', 'guestAddress'] as const).map((field): [string, Member] => [field, { ...HOST, host: { ...HOST.host, [field]: 'other' } }])
]

for (const [name, changed] of RELEVANT_CHANGES) {
  test(`the cached order is replaced after a change of ${name}`, () => { assert.equal(hasSameEntryHosts([HOST], [changed]), false) })
}

test('the cached order stays after a change of load figures, sheet numbers or versions only', () => {
  const changed = { ...HOST, version: 2, host: { ...HOST.host }, details: { ...DETAILS, sheetNumber: 2, pools: [] } }
  assert.equal(hasSameEntryHosts([HOST], [changed]), true)
})
