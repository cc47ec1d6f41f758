import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createGroupIdentity } from '../../src/agreement/createGroupIdentity.js'
import { MemberRole } from '../../src/agreement/MemberRole.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import type { ReplicaStatus } from '../../src/agreement/ReplicaStatus.js'
import { chooseFormation, excludesOther, FormationKind, type FormationReport } from '../../src/control/chooseFormation.js'

const DOMAINS = 6
const NEEDED_VOTERS = 5

function createStatus (number: number, group: string | undefined, isForming: boolean): ReplicaStatus {
  const configuration = group === undefined ? { members: [], retired: [] } : { members: [{ identity: `r${number}`, address: `a${number}`, role: MemberRole.Voter }], retired: [], ...isForming && { isForming: true as const } }
  return { identity: `r${number}`, address: `a${number}`, group, role: group === undefined ? ReplicaRole.Empty : ReplicaRole.Follower, term: 0, hasQuorum: false, hearsLeader: false, isCurrent: false, last: { index: 0, term: 0 }, commitIndex: 0, appliedIndex: 0, configuration }
}

/** One report a failure domain; the given hosts are members of a group that is forming. */
function createReports (groupsByHost: Record<number, string> = {}): FormationReport[] {
  return Array.from({ length: DOMAINS }, (_, number) => ({ address: `a${number}`, domain: `d${number}`, status: createStatus(number, groupsByHost[number], true) }))
}

function choose (reports: FormationReport[]): string | undefined {
  const formation = chooseFormation(reports, DOMAINS, NEEDED_VOTERS)
  return formation?.kind === FormationKind.Leave ? `leave ${formation.group}` : formation?.kind
}

test('empty hosts of all failure domains form a group', () => {
  assert.equal(choose(createReports().reverse()), 'form')
})

// Guards against a group that is formed while a host which did not answer may hold something acknowledged.
test('no group is formed or left unless exactly one host of each failure domain has answered', () => {
  const reports = createReports({ 2: 'g' })
  assert.equal(choose(reports.slice(1)), undefined)
  assert.equal(choose([...reports.slice(0, 5), { ...reports[5]!, domain: 'd4' }]), undefined)
  assert.equal(choose([...reports, { ...reports[5]!, address: 'a6' }]), undefined)
})

// Guards against the loss of an acknowledged plan that only one remaining host knows of.
test('no group is formed or left while one host knows a group that accepts plans, or cannot read its disk', () => {
  const reports = createReports({ 2: 'g' })
  assert.equal(choose(reports.with(5, { ...reports[5]!, status: createStatus(5, 'g', false) })), undefined)
  assert.equal(choose(reports.with(5, { ...reports[5]!, status: { ...reports[5]!.status, role: ReplicaRole.Stopped } })), undefined)
})

test('a forming group without a leader is left, one with a leader is not', () => {
  const reports = createReports({ 2: 'g', 3: 'g' })
  assert.equal(choose(reports), 'leave g')
  assert.equal(choose(reports.with(3, { ...reports[3]!, status: { ...reports[3]!.status, hearsLeader: true } })), undefined)
})

test('the formation of the group of all hosts that was interrupted is completed', () => {
  const group = createGroupIdentity(createReports().map(({ address, status }) => ({ identity: status.identity, address })))
  assert.equal(choose(createReports({ 0: group, 4: group })), 'form')
})

// Guards against two groups that both accept plans: they must have a host in common.
test('without a common host of the smallest accepting group and a new one, no group is formed', () => {
  const reports = Array.from({ length: 9 }, (_, number) => ({ address: `a${number}`, domain: `d${number}`, status: createStatus(number, undefined, true) }))
  assert.equal(chooseFormation(reports, 9, 5), undefined)
  assert.equal(chooseFormation(reports, 9, 9)?.kind, FormationKind.Form)
  assert.deepEqual([excludesOther(3, 6), excludesOther(4, 6), excludesOther(5, 6)], [false, true, true])
})

test('a group is neither formed nor left where a single failure domain would decide alone', () => {
  assert.equal(chooseFormation(createReports().slice(0, 1), 1, 1), undefined)
})
