import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { MemberRole } from '../../src/agreement/MemberRole.js'
import type { ReplicaStatus } from '../../src/agreement/ReplicaStatus.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { createSubmission } from '../plan/createPlan.js'
import { ControlCluster, type ClusterControlHost } from './ControlCluster.js'

const HOST_COUNT = 6
const NEEDED_VOTERS = 5
/** Longer than all hosts need to form a group that the seeds could not form. */
const AWAY_MILLISECONDS = 20_000
const READ_MILLISECONDS = 15_000
const ENTRY_HOST_ADDRESS = '127.0.0.99:7660'

/** Waits until the forming group has the voters that it needs. */
async function waitForVoters (cluster: ControlCluster): Promise<{ leader: ClusterControlHost, voters: ClusterControlHost[] }> {
  const { callPeer } = cluster.network.addHost(ENTRY_HOST_ADDRESS)
  for (;;) {
    await cluster.advance(10)
    const statuses = await cluster.waitFor(Promise.all(cluster.hosts.map(async ({ address }) => await callPeer<ReplicaStatus>(address, PeerMethod.ReplicaStatus, {}, 100))))
    const leading = statuses.findIndex(({ hasQuorum }) => hasQuorum)
    const { configuration, isConfigurationCommitted } = statuses[Math.max(0, leading)]!
    const addresses = configuration.members.filter(({ role }) => role === MemberRole.Voter).map(({ address }) => address)
    if (leading < 0 || addresses.length < NEEDED_VOTERS || isConfigurationCommitted !== true) continue
    assert.equal(configuration.isForming, true, 'the formation is not completed yet')
    return { leader: cluster.hosts[leading]!, voters: cluster.hosts.filter(({ address }) => addresses.includes(address)) }
  }
}

// Guards against a second group of hosts that do not know the first one's plan, while the only one that does is away.
test('hosts without an acknowledged plan form no group while the only host that still has it is away', async (context: TestContext) => {
  const cluster = ControlCluster.begin(context, HOST_COUNT)
  const { leader, voters } = await waitForVoters(cluster)
  const other = voters.filter((host) => host !== leader)
  const [lost, kept] = [other[0]!, other[1]!]
  const holders = [leader, lost, kept]
  cluster.network.split(holders.map(({ address }) => address), cluster.hosts.filter((host) => !holders.includes(host)).map(({ address }) => address))
  await cluster.waitUntil(async () => (await leader.process.plans.submit(createSubmission(1, 0))).result === PlanResult.Accepted, 'the first plan')
  const killed = [...cluster.hosts]
  for (const host of killed) cluster.kill(host)
  cluster.network.heal()
  const present = await cluster.restart(killed.filter((host) => host !== kept), (files) => [leader.files, lost.files].includes(files) ? cluster.createDisk() : files.restartProcess())
  const restartedAt = performance.now()
  while (performance.now() - restartedAt < AWAY_MILLISECONDS) {
    const reads = await cluster.waitFor(Promise.all(present.map(async ({ process }) => await process.plans.read())))
    assert.ok(reads.every((read) => read === undefined), 'no host claims to know the newest plan')
    await cluster.advance(200)
  }
  const [returned] = await cluster.restart([kept], (files) => files.restartProcess())
  const returnedAt = performance.now()
  await cluster.waitUntil(async () => (await returned!.process.plans.read())?.current?.plan.version === 1, 'the acknowledged plan is read')
  assert.ok(performance.now() - returnedAt < READ_MILLISECONDS)
})
