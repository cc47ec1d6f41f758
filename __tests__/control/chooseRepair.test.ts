import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberRole } from '../../src/agreement/MemberRole.js'
import type { ReplicaConfiguration } from '../../src/agreement/ReplicaConfiguration.js'
import { chooseRepair, RepairKind, type GroupHealth } from '../../src/control/chooseRepair.js'

function createConfiguration (voters: number, ...learners: string[]): ReplicaConfiguration {
  const members = Array.from({ length: voters }, (_, index) => ({ identity: `v${index}`, address: `127.0.0.${index}:1`, role: MemberRole.Voter }))
  return { members: [...members, ...learners.map((address, index) => ({ identity: `l${index}`, address, role: MemberRole.Learner }))], retired: [] }
}

function createHealth (silentIdentities: string[] = [], overrides: Partial<GroupHealth> = {}): GroupHealth {
  return { silentIdentities, lostIdentities: [], ...overrides }
}

test('a complete group needs no repair, even while a voter is silent', () => {
  assert.equal(chooseRepair(createConfiguration(6), createHealth(['v1']), 6), undefined)
})

test('a new replica votes at once', () => {
  assert.deepEqual(chooseRepair(createConfiguration(3, '127.0.0.9:1'), createHealth([]), 6), { kind: RepairKind.Promote, identity: 'l0' })
  assert.deepEqual(chooseRepair(createConfiguration(6, '127.0.0.9:1'), createHealth([]), 6), { kind: RepairKind.Promote, identity: 'l0' })
  assert.deepEqual(chooseRepair(createConfiguration(5, '127.0.0.9:1'), createHealth(['v1']), 6), { kind: RepairKind.Promote, identity: 'l0' })
})

// Guards against a group of six voters of which one is gone, and that loses its majority with two disks, one of them that of the newest voter.
test('a new replica does not vote beside a complete group while that would raise the majority', () => {
  assert.equal(chooseRepair(createConfiguration(5, '127.0.0.9:1'), createHealth([]), 5), undefined)
  assert.deepEqual(chooseRepair(createConfiguration(5, '127.0.0.9:1'), createHealth(['v1']), 5), { kind: RepairKind.Remove, identity: 'v1' })
  assert.deepEqual(chooseRepair(createConfiguration(4, '127.0.0.9:1'), createHealth([]), 5), { kind: RepairKind.Promote, identity: 'l0' })
})

test('a voter that is gone is removed before its replacement votes', () => {
  assert.deepEqual(chooseRepair(createConfiguration(6, '127.0.0.9:1'), createHealth(['v1']), 6), { kind: RepairKind.Remove, identity: 'v1' })
})

test('a new replica at the address of a voter replaces it', () => {
  const repair = chooseRepair(createConfiguration(6, '127.0.0.2:1'), createHealth([]), 6)
  assert.deepEqual(repair, { kind: RepairKind.Replace, identity: 'l0', lost: 'v2', address: '127.0.0.2:1' })
})

// Guards against a group of four voters, which does not bear the loss of two disks, while two machines are replaced.
test('a vacancy is filled before another lost voter is replaced, unless that failed', () => {
  const vacancyAndReplacement = createConfiguration(5, '127.0.0.2:1', '127.0.0.9:1')
  assert.deepEqual(chooseRepair(vacancyAndReplacement, createHealth(), 6), { kind: RepairKind.Promote, identity: 'l1' })
  assert.deepEqual(chooseRepair(vacancyAndReplacement, createHealth([], { failedIdentity: 'l1' }), 6), { kind: RepairKind.Replace, identity: 'l0', lost: 'v2', address: '127.0.0.2:1' })
})

test('the longest silent voter is removed while there are more voters than desired', () => {
  assert.deepEqual(chooseRepair(createConfiguration(7), createHealth(['v3', 'v1']), 6), { kind: RepairKind.Remove, identity: 'v3' })
  assert.equal(chooseRepair(createConfiguration(7), createHealth([]), 6), undefined)
})

// Guards against a group that is never repaired again because the machine of a learner lost its disk a second time.
test('a learner whose machine lost its disk again is passed over and removed', () => {
  const voterAndTwoLearners = createConfiguration(6, '127.0.0.2:1', '127.0.0.2:1')
  assert.deepEqual(chooseRepair(voterAndTwoLearners, createHealth(), 6), { kind: RepairKind.Replace, identity: 'l1', lost: 'v2', address: '127.0.0.2:1' })
  const votersAndOldLearner = createConfiguration(5, '127.0.0.9:1', '127.0.0.9:1')
  assert.deepEqual(chooseRepair(votersAndOldLearner, createHealth(), 6), { kind: RepairKind.Remove, identity: 'l0' })
})

test('a silent learner does not hold back the learners after it', () => {
  assert.deepEqual(chooseRepair(createConfiguration(5, '127.0.0.8:1', '127.0.0.9:1'), createHealth(['l0']), 6), { kind: RepairKind.Promote, identity: 'l1' })
  assert.deepEqual(chooseRepair(createConfiguration(6, '127.0.0.1:1', '127.0.0.2:1'), createHealth(['l0']), 6), { kind: RepairKind.Replace, identity: 'l1', lost: 'v2', address: '127.0.0.2:1' })
  assert.equal(chooseRepair(createConfiguration(6, '127.0.0.9:1'), createHealth(['l0']), 6), undefined)
})

test('a learner that stays silent is removed', () => {
  const health = createHealth(['l0'], { lostIdentities: ['l0'] })
  assert.deepEqual(chooseRepair(createConfiguration(6, '127.0.0.9:1'), health, 6), { kind: RepairKind.Remove, identity: 'l0' })
})

test('a learner whose repair failed goes last', () => {
  const configuration = createConfiguration(4, '127.0.0.8:1', '127.0.0.9:1')
  assert.deepEqual(chooseRepair(configuration, createHealth([], { failedIdentity: 'l0' }), 6), { kind: RepairKind.Promote, identity: 'l1' })
})
