import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberRole } from '../../src/agreement/MemberRole.js'
import type { ReplicaConfiguration } from '../../src/agreement/ReplicaConfiguration.js'
import { chooseRepair, RepairKind } from '../../src/control/chooseRepair.js'

function createConfiguration (voters: number, ...learners: string[]): ReplicaConfiguration {
  const members = Array.from({ length: voters }, (_, index) => ({ identity: `v${index}`, address: `127.0.0.${index}:1`, role: MemberRole.Voter }))
  return { members: [...members, ...learners.map((address, index) => ({ identity: `l${index}`, address, role: MemberRole.Learner }))], retired: [] }
}

test('a complete group needs no repair, even while a voter is silent', () => {
  assert.equal(chooseRepair(createConfiguration(6), ['v1'], 6), undefined)
})

test('a new replica votes at once', () => {
  assert.deepEqual(chooseRepair(createConfiguration(3, '127.0.0.9:1'), [], 6), { kind: RepairKind.Promote, identity: 'l0' })
  assert.deepEqual(chooseRepair(createConfiguration(6, '127.0.0.9:1'), [], 6), { kind: RepairKind.Promote, identity: 'l0' })
  assert.deepEqual(chooseRepair(createConfiguration(5, '127.0.0.9:1'), ['v1'], 6), { kind: RepairKind.Promote, identity: 'l0' })
})

test('a voter that is gone is removed before its replacement votes', () => {
  assert.deepEqual(chooseRepair(createConfiguration(6, '127.0.0.9:1'), ['v1'], 6), { kind: RepairKind.Remove, identity: 'v1' })
})

test('a new replica at the address of a voter replaces it', () => {
  const repair = chooseRepair(createConfiguration(6, '127.0.0.2:1'), [], 6)
  assert.deepEqual(repair, { kind: RepairKind.Replace, identity: 'l0', lost: 'v2', address: '127.0.0.2:1' })
})

test('the longest silent voter is removed while there are more voters than desired', () => {
  assert.deepEqual(chooseRepair(createConfiguration(7), ['v3', 'v1'], 6), { kind: RepairKind.Remove, identity: 'v3' })
  assert.equal(chooseRepair(createConfiguration(7), [], 6), undefined)
})
