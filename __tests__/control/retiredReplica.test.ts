import assert from 'node:assert/strict'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { ControlHostProcess } from '../../src/control/ControlHostProcess.js'
import type { FollowReply, FollowRequest } from '../../src/follow/FollowMessages.js'
import { Counters } from '../../src/observe/Counters.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { AnnouncementResult } from '../../src/registry/UpstreamRegistry.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { MemoryNetwork } from '../agreement/support/MemoryNetwork.js'
import { createSubmission } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'

const HOST_COUNT = 4
const VOTER_COUNT = 3
const TEST_TIMEOUT_MILLISECONDS = 60_000
const POLL_MILLISECONDS = 50
/** Longer than the silence after which a voter is replaced, twice over. */
const FREEZE_MILLISECONDS = 4_500

const FOLLOW_REQUEST: FollowRequest = {
  entryHost: { name: 'entry-1', domain: 'domain-0', region: 'asturias', guestAddress: '127.0.0.9:7144', isReady: true, demand: {} },
  position: { feed: '', revision: 0, crashRevision: 0, planVersion: 0, evacuationRevision: 0 },
  waitMilliseconds: 0,
  losses: []
}

interface Host {
  address: string
  process: ControlHostProcess
  events: string[]
}

/** Control hosts in one process, on folders of their own. There is one more than the group needs. */
async function startHosts (context: TestContext): Promise<{ network: MemoryNetwork, hosts: Host[], restarted: string[] }> {
  const folder = await mkdtemp(join(tmpdir(), 'hibiscusrelay-retired-'))
  const network = new MemoryNetwork()
  const restarted: string[] = []
  const addresses = Array.from({ length: HOST_COUNT }, (_, number) => `127.0.0.${number + 1}:7660`)
  const hosts = addresses.map((address, number) => {
    const events: string[] = []
    const record = (event: string): void => { events.push(event) }
    const process = new ControlHostProcess({
      settings: () => ({ peerAddress: address, domain: `domain-${number}`, region: 'asturias', dataFolder: join(folder, `${number}`), seeds: addresses.slice(0, VOTER_COUNT), isFirstStart: true, wantedVoters: VOTER_COUNT, toleratedLosses: undefined, announcementMilliseconds: 1_500 }),
      ...network.addHost(address),
      restart: () => { restarted.push(address) },
      random: Math.random,
      counters: new Counters(),
      log: { info: record, warn: record, error: record }
    })
    return { address, process, events }
  })
  for (const { process } of hosts) await process.open()
  for (const { process } of hosts) await process.start()
  context.after(async () => {
    await Promise.all(hosts.map(({ process }) => process.stop()))
    await rm(folder, { recursive: true })
  })
  return { network, hosts, restarted }
}

async function waitUntil (isDone: () => Promise<boolean> | boolean): Promise<void> {
  while (!await isDone()) await sleep(POLL_MILLISECONDS)
}

test('a control host that was replaced while it was frozen joins anew in place, and serves on', { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
  const { network, hosts, restarted } = await startHosts(context)
  const operator = hosts[0]!.process.plans
  await waitUntil(async () => (await operator.submit(createSubmission(1, 0))).result === PlanResult.Accepted)
  await waitUntil(() => hosts.filter(({ events }) => events.includes('replica-current')).length === HOST_COUNT)
  // The frozen host is a voter that does not lead, so that the others go on.
  const frozen = hosts[2]!
  network.pauseHost(frozen.address)
  await sleep(FREEZE_MILLISECONDS)
  await waitUntil(async () => (await operator.submit(createSubmission(2, 1))).result === PlanResult.Accepted)
  network.resumeHost(frozen.address)

  let announcements = 0
  await waitUntil(async () => {
    announcements += 1
    const result = await frozen.process.upstreams.announce(createUpstreamRecord({ sequence: announcements }))
    assert.equal(result, AnnouncementResult.Accepted)
    return frozen.events.includes('replica-retired')
  })
  const entryHost = network.addHost('127.0.0.9:7660')
  await waitUntil(async () => {
    const reply = await entryHost.callPeer<FollowReply>(frozen.address, PeerMethod.Follow, FOLLOW_REQUEST, 1_000)
    assert.ok(reply.position.planVersion >= 1, 'the plan stays known')
    return (await frozen.process.plans.read())?.current?.plan.version === 2
  })
  assert.equal((await frozen.process.plans.submit(createSubmission(3, 2))).result, PlanResult.Accepted)
  assert.deepEqual(restarted, [])
})
