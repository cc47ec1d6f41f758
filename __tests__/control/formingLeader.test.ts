import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { MemberRole } from '../../src/agreement/MemberRole.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import type { ReplicaStatus } from '../../src/agreement/ReplicaStatus.js'
import { ReplicaGroupManager } from '../../src/control/ReplicaGroupManager.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
const NEEDED_VOTERS = 5
const members = ['a', 'b', 'c'].map((address) => ({ identity: address, address, role: MemberRole.Voter }))

// Guards against a group that accepts plans on two disks at once, since its leader had led it long before for a moment.
test('a leader of a forming group that lost its majority waits for joining hosts anew when it leads again', async (context: TestContext) => {
  pauseClock(context)
  const status: ReplicaStatus = { identity: 'a', address: 'a', group: 'g', role: ReplicaRole.Leader, term: 1, hasQuorum: true, hearsLeader: true, isCurrent: true, last: { index: 1, term: 1 }, commitIndex: 1, appliedIndex: 1, configuration: { members, retired: [], isForming: true } }
  let completions = 0
  const unused = async (): Promise<never> => { throw new Error('not used') }
  const completeFormation = async (): Promise<{ done: boolean }> => { completions += 1; return { done: true } }
  const manager = new ReplicaGroupManager({
    replica: { status: () => status, bootstrap: unused, promote: unused, remove: unused, replace: unused, completeFormation, listSilent: () => [] },
    address: 'a',
    seeds: () => ['a', 'b', 'c'],
    isFirstStart: true,
    listPeers: () => [],
    desiredVoters: () => NEEDED_VOTERS,
    neededVoters: () => NEEDED_VOTERS,
    callPeer: unused,
    onRetired: () => {},
    log: silentLog
  })
  context.after(() => { manager.stop() })
  manager.run().catch(() => {})
  await advance(context, 1_000)
  Object.assign(status, { role: ReplicaRole.Follower, hasQuorum: false })
  await advance(context, 30_000)
  Object.assign(status, { role: ReplicaRole.Leader, hasQuorum: true, term: 2 })
  await advance(context, 4_000)
  assert.equal(completions, 0, 'accepts plans within 4 s')
  await advance(context, 2_000)
  assert.ok(completions > 0, 'accepts plans after 5 s')
})
