import assert from 'node:assert/strict'
import type { TestContext } from 'node:test'
import { ControlHostProcess } from '../../src/control/ControlHostProcess.js'
import type { FollowRequest } from '../../src/follow/FollowMessages.js'
import { Counters } from '../../src/observe/Counters.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { MemoryNetwork } from '../agreement/support/MemoryNetwork.js'
import { seededRandom } from '../agreement/support/SheetCluster.js'
import { createSubmission } from '../plan/createPlan.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const SEED_COUNT = 3
const LIMIT_MILLISECONDS = 60_000
const STEP_MILLISECONDS = 10

/** A request of an entry host that knows nothing yet. */
export const FOLLOW_REQUEST: FollowRequest = {
  entryHost: { name: 'entry-1', domain: 'domain-0', region: 'asturias', guestAddress: '127.0.0.9:7144', isReady: true, demand: {} },
  position: { feed: '', revision: 0, crashRevision: 0, planVersion: 0, evacuationRevision: 0 },
  waitMilliseconds: 0,
  losses: []
}

/** A control host of a {@link ControlCluster}. */
export interface ClusterControlHost {
  address: string
  files: MemoryFiles
  process: ControlHostProcess
  events: string[]
}

/** Control hosts in one process, on a paused clock, with a network and disks in memory. */
export class ControlCluster {
  readonly network = new MemoryNetwork()
  readonly hosts: ClusterControlHost[] = []
  readonly #context: TestContext
  readonly #random = seededRandom(1)
  readonly #hostCount: number

  private constructor (context: TestContext, hostCount: number) {
    this.#context = context
    this.#hostCount = hostCount
    pauseClock(context)
  }

  /** @returns hosts that form a complete replica group and have accepted plan 1 */
  static async start (context: TestContext, hostCount: number): Promise<ControlCluster> {
    const cluster = new ControlCluster(context, hostCount)
    await Promise.all(cluster.#createHosts().map((host) => cluster.#open(host)))
    await cluster.waitUntil(() => cluster.hosts.every(({ events }) => events.includes('replica-current')), 'all replicas are current')
    await cluster.waitUntil(() => cluster.hosts.every(({ process }) => process.voterCount === hostCount), 'all replicas vote')
    await cluster.waitUntil(async () => (await cluster.hosts[0]!.process.plans.submit(createSubmission(1, 0))).result === PlanResult.Accepted, 'the first plan')
    return cluster
  }

  /** @returns hosts that have just begun to form a replica group */
  static begin (context: TestContext, hostCount: number): ControlCluster {
    const cluster = new ControlCluster(context, hostCount)
    for (const { process } of cluster.#createHosts()) process.open().then(async () => { await process.start() }, () => {})
    return cluster
  }

  /** Ends a host's process; what it had written stays, as without a loss of power. */
  kill (host: ClusterControlHost): void {
    host.files.crash()
    this.network.removeHost(host.address)
    host.process.stop().catch(() => {})
  }

  /** Starts killed hosts at the same time, with the files that they find. */
  async restart (hosts: readonly ClusterControlHost[], findFiles: (files: MemoryFiles) => MemoryFiles): Promise<ClusterControlHost[]> {
    const restarted = hosts.map((host) => this.#createHost(this.hosts.indexOf(host), findFiles(host.files), false))
    await Promise.all(restarted.map((host) => this.#open(host)))
    return restarted
  }

  async advance (milliseconds: number): Promise<void> {
    await advance(this.#context, milliseconds, STEP_MILLISECONDS)
  }

  /** Advances the clock until a promise is settled. */
  async waitFor<Result> (promise: Promise<Result>): Promise<Result> {
    const state = { isSettled: false }
    const settle = (): void => { state.isSettled = true }
    promise.then(settle, settle)
    for (let passed = 0; passed < LIMIT_MILLISECONDS && !state.isSettled; passed += STEP_MILLISECONDS) await this.advance(STEP_MILLISECONDS)
    return await promise
  }

  /** Advances the clock until a condition holds; fails after a minute. */
  async waitUntil (isDone: () => boolean | Promise<boolean>, failureText: string): Promise<void> {
    const startedAt = performance.now()
    while (!await this.waitFor(Promise.resolve(isDone()))) {
      assert.ok(performance.now() - startedAt < LIMIT_MILLISECONDS, failureText)
      await this.advance(STEP_MILLISECONDS)
    }
  }

  #createHosts (): ClusterControlHost[] {
    const created = Array.from({ length: this.#hostCount }, (_, index) => this.#createHost(index, new MemoryFiles(this.#random), true))
    this.#context.after(() => { for (const host of this.hosts) this.kill(host) })
    return created
  }

  async #open ({ process }: ClusterControlHost): Promise<void> {
    await this.waitFor(process.open())
    await this.waitFor(process.start())
  }

  #createHost (index: number, files: MemoryFiles, isFirstStart: boolean): ClusterControlHost {
    const address = `127.0.0.${index + 1}:7660`
    const seeds = Array.from({ length: Math.min(SEED_COUNT, this.#hostCount) }, (_, seed) => `127.0.0.${seed + 1}:7660`)
    const events: string[] = []
    const record = (event: string): void => { events.push(event) }
    const process = new ControlHostProcess({
      settings: () => ({ peerAddress: address, domain: `domain-${index}`, region: 'asturias', dataFolder: '/data', seeds, isFirstStart, wantedVoters: this.#hostCount, toleratedLosses: undefined, announcementMilliseconds: 1_500 }),
      ...this.network.addHost(address),
      restart: () => { events.push('process-restart') },
      random: this.#random,
      files,
      counters: new Counters(),
      log: { info: record, warn: record, error: record }
    })
    const host = { address, files, process, events }
    this.hosts[index] = host
    return host
  }
}
