import assert from 'node:assert/strict'
import crypto from 'node:crypto'
import { syncBuiltinESMExports } from 'node:module'
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
/** Age of the list of control hosts from which the settings of a new host are written. */
const SEED_LAG_MILLISECONDS = 3_000

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
  /** Control hosts that its settings name. */
  seeds: string[]
}

/** Control hosts in one process, on a paused clock, with a network and disks in memory. */
export class ControlCluster {
  readonly network = new MemoryNetwork()
  readonly hosts: ClusterControlHost[] = []
  readonly #context: TestContext
  /** Called for each log record of a control host, with the clock time in milliseconds. */
  onRecord: (at: number, address: string, event: string, fields: object) => void = () => {}
  readonly #random: () => number
  readonly #hostCount: number
  #addressCount = 0
  /** Addresses of all control hosts from a time on, the oldest first. */
  readonly #lists: Array<{ since: number, addresses: string[] }> = []

  private constructor (context: TestContext, hostCount: number, seed = 1) {
    this.#context = context
    this.#hostCount = hostCount
    this.#random = seededRandom(seed)
    pauseClock(context)
    seedIdentities(context, seededRandom(seed + 1))
  }

  /** @returns hosts that form a complete replica group and have accepted plan 1 */
  static async start (context: TestContext, hostCount: number, seed = 1): Promise<ControlCluster> {
    const cluster = new ControlCluster(context, hostCount, seed)
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
    const restarted = hosts.map((host) => this.#createHost(this.hosts.indexOf(host), findFiles(host.files), false, host))
    await Promise.all(restarted.map((host) => this.#open(host)))
    return restarted
  }

  /** Starts a killed host at its address again, and goes on at once. */
  launch ({ address, seeds }: Pick<ClusterControlHost, 'address' | 'seeds'>, files: MemoryFiles, index = this.#findIndex(address)): ClusterControlHost {
    const launched = this.#createHost(index, files, false, { address, seeds })
    launched.process.open().then(async () => { await launched.process.start() }).catch((error: unknown) => { launched.events.push(String(error)) })
    return launched
  }

  /** Starts a new host, at an address that no host had and with an empty disk, in place of a killed one; goes on at once. */
  launchReplacement (host: ClusterControlHost): ClusterControlHost {
    this.#addressCount += 1
    const listedAt = performance.now() - SEED_LAG_MILLISECONDS
    const { addresses } = this.#lists.findLast(({ since }) => since <= listedAt) ?? this.#lists[0]!
    const first = Math.floor(this.#random() * addresses.length)
    const seeds = [...addresses.slice(first), ...addresses.slice(0, first)].slice(0, SEED_COUNT)
    return this.launch({ address: formatAddress(this.#addressCount), seeds }, this.createDisk(), this.hosts.indexOf(host))
  }

  /** @returns an empty disk */
  createDisk (): MemoryFiles {
    return new MemoryFiles(this.#random)
  }

  async advance (milliseconds: number): Promise<void> {
    await advance(this.#context, milliseconds, STEP_MILLISECONDS)
  }

  /** Advances the clock until a promise is settled; fails after a minute. */
  async waitFor<Result> (promise: Promise<Result>): Promise<Result> {
    const state = { isSettled: false }
    const settle = (): void => { state.isSettled = true }
    promise.then(settle, settle)
    for (let passed = 0; passed < LIMIT_MILLISECONDS && !state.isSettled; passed += STEP_MILLISECONDS) await this.advance(STEP_MILLISECONDS)
    assert.ok(state.isSettled, 'settled within a minute')
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
    const addresses = Array.from({ length: this.#hostCount }, (_, index) => formatAddress(index + 1))
    const created = addresses.map((address, index) => this.#createHost(index, this.createDisk(), true, { address, seeds: addresses.slice(0, SEED_COUNT) }))
    this.#addressCount = this.#hostCount
    this.#context.after(() => { for (const host of this.hosts) this.kill(host) })
    return created
  }

  async #open ({ process }: ClusterControlHost): Promise<void> {
    await this.waitFor(process.open())
    await this.waitFor(process.start())
  }

  #findIndex (address: string): number {
    return this.hosts.findIndex((host) => host.address === address)
  }

  #createHost (index: number, files: MemoryFiles, isFirstStart: boolean, { address, seeds }: Pick<ClusterControlHost, 'address' | 'seeds'>): ClusterControlHost {
    const events: string[] = []
    const record = (event: string, fields: object): void => {
      events.push(event)
      this.onRecord(performance.now(), address, event, fields)
    }
    const process = new ControlHostProcess({
      settings: () => ({ peerAddress: address, domain: `domain-${index}`, region: 'asturias', dataFolder: '/data', seeds, isFirstStart, wantedVoters: this.#hostCount, toleratedLosses: undefined, announcementMilliseconds: 1_500, regions: new Map(Array.from({ length: this.#hostCount }, (_each, number) => [`domain-${number}`, 'asturias'])) }),
      ...this.network.addHost(address),
      restart: () => { events.push('process-restart') },
      random: this.#random,
      files,
      counters: new Counters(),
      log: { info: record, warn: record, error: record }
    })
    const host = { address, files, process, events, seeds }
    this.hosts[index] = host
    if (this.hosts.length === this.#hostCount) this.#lists.push({ since: performance.now(), addresses: this.hosts.map((each) => each.address) })
    return host
  }
}

function formatAddress (number: number): string {
  return `127.0.0.${number}:7660`
}

/** Makes the identities of replicas depend on the seed only, for the duration of a test. */
function seedIdentities (context: TestContext, random: () => number): void {
  const pickDigits = (): string => Math.floor(random() * 2 ** 32).toString(16).padStart(8, '0')
  context.mock.method(crypto, 'randomUUID', () => `${pickDigits()}-${pickDigits()}`)
  syncBuiltinESMExports()
  context.after(() => {
    context.mock.restoreAll()
    syncBuiltinESMExports()
  })
}
