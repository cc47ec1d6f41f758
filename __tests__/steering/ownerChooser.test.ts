import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { test, type TestContext } from 'node:test'
import { MemberState, OwnerChooser, type Member, type Sheet } from '../../src/hibiscusrelay.js'
import { createFingerprintRandom } from '../../src/relay/createFingerprintRandom.js'
import { pauseClock } from '../support/pauseClock.js'
import { createMember } from './createMember.js'
import { PLACES, createSheet } from './createSheet.js'

interface ChooserOptions {
  sheet?: Sheet | undefined
  members?: Member[]
}

function createPausedChooser (context: TestContext, options: ChooserOptions = {}): OwnerChooser {
  pauseClock(context)
  return createChooser(options)
}

function createChooser (options: ChooserOptions): OwnerChooser {
  const sheet = 'sheet' in options ? options.sheet : createSheet()
  const members = options.members ?? PLACES.map((place) => createMember(`${place}-1`))
  const chooser = new OwnerChooser({ self: createMember('a1-9').host, members: () => members, currentSheet: () => sheet, random: () => 0 })
  if (sheet !== undefined) chooser.apply(sheet)
  chooser.applyMemberUpdates()
  return chooser
}

const firstAttempt = { service: 'desk', guestPlace: 'a1', full: new Set<string>(), excluded: new Set<string>() }

test('a request goes to the planned place, and may not wait while that is believed to have free slots', (context) => {
  const choice = createPausedChooser(context).choose(firstAttempt)
  assert.equal(choice?.host.name, 'a1-1')
  assert.equal(choice?.mayWait, false)
})

const NO_OWNER_CASES: Array<{ name: string, options: ChooserOptions, changes?: Partial<typeof firstAttempt> }> = [
  { name: 'there is no sheet', options: { sheet: undefined } },
  { name: 'there is no pool', options: { members: [] } },
  { name: 'the service is unknown', options: {}, changes: { service: 'shop' } },
  { name: 'all owners are excluded', options: {}, changes: { excluded: new Set(PLACES.map((place) => `${place}-1`)) } }
]

for (const { name, options, changes } of NO_OWNER_CASES) {
  test(`no owner is chosen when ${name}`, (context) => {
    assert.equal(createPausedChooser(context, options).choose({ ...firstAttempt, ...changes }), undefined)
  })
}

test('a draining place gets no requests, although it is planned and nearest', (context) => {
  const chooser = createPausedChooser(context, { sheet: createSheet({ draining: ['a1'] }) })
  for (let request = 0; request < 40; request++) assert.notEqual(chooser.choose(firstAttempt)?.host.domain, 'a1')
})

test('a request in another region may wait there', (context) => {
  assert.equal(createPausedChooser(context).choose({ ...firstAttempt, excluded: new Set(['a1-1', 'a2-1']) })?.mayWait, true)
})

for (const { name, freeSlots } of [{ name: 'without free slots', freeSlots: -6 }, { name: 'at its cap', freeSlots: 6 }]) {
  test(`after a refusal by a pool ${name} the request goes to the sibling`, (context) => {
    const chooser = createPausedChooser(context)
    const choice = chooser.choose(firstAttempt)!
    context.mock.timers.tick(1)
    choice.settle({ freeSlots, slots: 6, heldMilliseconds: 0 })
    assert.equal(chooser.choose({ ...firstAttempt, full: new Set(['a1-1']) })?.host.name, 'a2-1')
  })
}

test('the old report of a member is not recorded again when another member changes', (context) => {
  const members = PLACES.map((place) => createMember(`${place}-1`))
  const chooser = createPausedChooser(context, { members })
  context.mock.timers.tick(100)
  chooser.choose(firstAttempt)?.settle({ freeSlots: -6, slots: 6, heldMilliseconds: 0 })
  context.mock.timers.tick(700)
  const before = chooser.explain('desk', 'a1').pools[0]!.freeSlots
  members[5] = createMember('c2-1', { version: 2 })
  chooser.applyMemberUpdates()
  assert.equal(chooser.explain('desk', 'a1').pools[0]!.freeSlots, before)
})

test('copies of one request go to the same owner from hosts that list their members in different orders; other requests go to others', (context) => {
  const members = PLACES.map((place) => createMember(`${place}-1`))
  const choosers = [createPausedChooser(context, { members }), createChooser({ members: [...members].reverse() })]
  const chosenOwners = new Set<string | undefined>()
  for (let number = 0; number < 200; number += 1) {
    const fingerprint = createHash('sha256').update(String(number)).digest('hex')
    const [one, other] = choosers.map((chooser) => {
      const choice = chooser.choose({ ...firstAttempt, random: createFingerprintRandom(fingerprint) })
      choice?.settle({ freeSlots: 6, slots: 6, heldMilliseconds: 0 })
      return choice?.host.name
    })
    assert.equal(one, other)
    chosenOwners.add(one)
  }
  assert.ok(chosenOwners.size > 1)
})

test('estimates of an owner that is no longer a member are removed, those of one that is dead for a short time are kept', (context) => {
  const members = [createMember('a1-1')]
  const chooser = createPausedChooser(context, { members })
  const freeSlots = (): number => Math.round(chooser.explain('desk', 'a1').pools[0]!.freeSlots)
  context.mock.timers.tick(1000)
  chooser.choose(firstAttempt)!.settle({ freeSlots: -6, slots: 6, heldMilliseconds: 0 })
  const applyMembers = (...now: Member[]): void => {
    members.splice(0, members.length, ...now)
    chooser.applyMemberUpdates()
  }
  applyMembers(createMember('a1-1', { state: MemberState.Dead }))
  applyMembers(createMember('a1-1'))
  assert.equal(freeSlots(), -6)
  applyMembers(createMember('b1-1'))
  applyMembers(createMember('a1-1'), createMember('b1-1'))
  context.mock.timers.tick(1000)
  assert.equal(freeSlots(), 6)
})
