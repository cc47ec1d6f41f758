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
  assert.equal(isFormationOver(createConfiguration(4), { neededVoters: 5, milliseconds: 0 }), false)
  assert.equal(isFormationOver(createConfiguration(5), { neededVoters: 5, milliseconds: 0 }), true)
})

test('a group that no further host joins accepts orders after a while, and one that a host is joining waits longer, but not for good', () => {
  assert.equal(isFormationOver(createConfiguration(3), { neededVoters: 5, milliseconds: 4_900 }), false)
  assert.equal(isFormationOver(createConfiguration(3), { neededVoters: 5, milliseconds: 5_000 }), true)
  assert.equal(isFormationOver(createConfiguration(4, 1), { neededVoters: 5, milliseconds: 9_900 }), false)
  assert.equal(isFormationOver(createConfiguration(4, 1), { neededVoters: 5, milliseconds: 10_000 }), true)
})
