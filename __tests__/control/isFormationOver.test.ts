import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberRole } from '../../src/agreement/MemberRole.js'
import type { ReplicaConfiguration } from '../../src/agreement/ReplicaConfiguration.js'
import { computeNeededVoters } from '../../src/control/computeNeededVoters.js'
import { isFormationOver } from '../../src/control/isFormationOver.js'

function createConfiguration (voters: number, learners = 0): ReplicaConfiguration {
  const members = Array.from({ length: voters + learners }, (_, index) => ({ identity: `m${index}`, address: `127.0.0.${index}:1`, role: index < voters ? MemberRole.Voter : MemberRole.Learner }))
  return { members, retired: [], isForming: true }
}

const base = { neededVoters: 5, desiredVoters: 6 }

test('a majority of the needed voters survives the tolerated losses, as far as a complete group can', () => {
  assert.equal(computeNeededVoters({ wantedVoters: 6, toleratedLosses: 2 }), 5)
  assert.equal(computeNeededVoters({ wantedVoters: 9, toleratedLosses: 2 }), 5)
  assert.equal(computeNeededVoters({ wantedVoters: 3, toleratedLosses: 2 }), 3)
  assert.equal(computeNeededVoters({ wantedVoters: 1, toleratedLosses: 0 }), 1)
})

test('without a setting, the losses are those that a complete group bears', () => {
  assert.deepEqual([1, 2, 3, 4, 5, 6, 9].map((wantedVoters) => computeNeededVoters({ wantedVoters, toleratedLosses: undefined })), [1, 1, 3, 3, 5, 5, 9])
})

test('a group is formed once it has the needed voters', () => {
  assert.equal(isFormationOver(createConfiguration(4), { ...base, answeringVoters: 4, milliseconds: 0 }), false)
  assert.equal(isFormationOver(createConfiguration(5), { ...base, answeringVoters: 5, milliseconds: 0 }), true)
})

// Guards against a first plan that two lost disks take away, since one of the voters that were counted was lost before it.
test('voters that do not answer count neither as needed ones nor for the tolerated losses', () => {
  assert.equal(isFormationOver(createConfiguration(5), { ...base, answeringVoters: 4, milliseconds: 0 }), false)
  assert.equal(isFormationOver(createConfiguration(6), { ...base, answeringVoters: 5, milliseconds: 0 }), false)
  assert.equal(isFormationOver(createConfiguration(6), { ...base, answeringVoters: 6, milliseconds: 0 }), true)
})

test('a group that no further host joins accepts orders after a while, and one that a host is joining waits longer, but not for good', () => {
  assert.equal(isFormationOver(createConfiguration(4), { ...base, answeringVoters: 4, milliseconds: 4_900 }), false)
  assert.equal(isFormationOver(createConfiguration(4), { ...base, answeringVoters: 4, milliseconds: 5_000 }), true)
  assert.equal(isFormationOver(createConfiguration(4, 1), { ...base, answeringVoters: 4, milliseconds: 9_900 }), false)
  assert.equal(isFormationOver(createConfiguration(4, 1), { ...base, answeringVoters: 4, milliseconds: 10_000 }), true)
})

// Guards against two groups that both accept plans: four hosts outside a majority of three voters could form a group.
test('a group whose majority leaves enough hosts for another group never accepts orders', () => {
  assert.equal(isFormationOver(createConfiguration(3), { ...base, answeringVoters: 3, milliseconds: 60_000 }), false)
})
