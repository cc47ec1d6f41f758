import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { ReconfigureAnswer } from '../../src/agreement/messages/ReconfigureAnswer.js'
import { ReconfigureAction } from '../../src/agreement/ReconfigureAction.js'
import type { ReplicaStatus } from '../../src/agreement/ReplicaStatus.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 6
/** The group has been formed by then, and has no leader yet. */
const FORMED_MILLISECONDS = 300
/** Time in which the other seeds hear the leader; the group is still forming then. */
const HEARD_MILLISECONDS = 50
const OPERATOR_ADDRESS = '127.0.0.98:7660'
const TIMEOUT_MILLISECONDS = 200

async function command (cluster: ControlCluster, callPeer: CallPeer, address: string, action: ReconfigureAction): Promise<boolean> {
  const { identity, group } = await cluster.waitFor(callPeer<ReplicaStatus>(address, PeerMethod.ReplicaStatus, {}, TIMEOUT_MILLISECONDS))
  return (await cluster.waitFor(callPeer<ReconfigureAnswer>(address, PeerMethod.Reconfigure, { action, forwarded: true, identity, group, attempt: 'attempt' }, TIMEOUT_MILLISECONDS))).done
}

// Guards against the loss of an acknowledged plan: its replicas must never leave their group.
test('no replica of a group that accepts plans is sealed or leaves', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  const { callPeer } = cluster.network.addHost(OPERATOR_ADDRESS)
  for (const { address } of cluster.hosts) {
    for (const action of [ReconfigureAction.SealFormation, ReconfigureAction.LeaveFormation]) assert.equal(await command(cluster, callPeer, address, action), false)
  }
})

test('no replica of a forming group with a leader is sealed or leaves', async (context: TestContext) => {
  const cluster = ControlCluster.begin(context, HOST_COUNT)
  await cluster.waitUntil(() => cluster.hosts.some(({ events }) => events.includes('leader-elected')), 'a leader is elected')
  await cluster.advance(HEARD_MILLISECONDS)
  const { callPeer } = cluster.network.addHost(OPERATOR_ADDRESS)
  for (const { address } of cluster.hosts.slice(0, 3)) {
    for (const action of [ReconfigureAction.SealFormation, ReconfigureAction.LeaveFormation]) assert.equal(await command(cluster, callPeer, address, action), false)
  }
})

// Guards against a group that accepts a plan between the survey of its members and their leaving.
test('sealed replicas elect no leader, and do so again once the seal has ended', async (context: TestContext) => {
  const cluster = ControlCluster.begin(context, HOST_COUNT)
  const { callPeer } = cluster.network.addHost(OPERATOR_ADDRESS)
  await cluster.advance(FORMED_MILLISECONDS)
  const seeds = cluster.hosts.slice(0, 3)
  const hasLeader = (): boolean => seeds.some(({ events }) => events.includes('leader-elected'))
  let sealed = 0
  while (sealed < seeds.length && !hasLeader()) {
    sealed = 0
    for (const { address } of seeds) sealed += Number(await command(cluster, callPeer, address, ReconfigureAction.SealFormation))
  }
  assert.equal(sealed, seeds.length, 'all members are sealed before the first election')
  await cluster.advance(1_500)
  assert.equal(hasLeader(), false)
  await cluster.waitUntil(hasLeader, 'a leader is elected')
})
