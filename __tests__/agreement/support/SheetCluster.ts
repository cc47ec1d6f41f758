import assert from 'node:assert/strict'
import type { TestContext } from 'node:test'
import { gzipSync } from 'node:zlib'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { ReplicaLimits } from '../../../src/agreement/ReplicaLimits.js'
import { ReplicaRole } from '../../../src/agreement/ReplicaRole.js'
import { createSheetReplica, type SheetReplica } from '../../../src/agreement/sheets/createSheetReplica.js'
import { digestOf } from '../../../src/agreement/sheets/digestOf.js'
import type { SubmitAnswer } from '../../../src/agreement/sheets/SubmitAnswer.js'
import { Counters } from '../../../src/observe/Counters.js'
import type { Log } from '../../../src/observe/Log.js'
import type { CallPeer } from '../../../src/transport/CallPeer.js'
import type { RegisterPeerHandler } from '../../../src/transport/PeerHandler.js'
import { advance, pauseClock } from '../../support/pauseClock.js'
import { Fault, MemoryFiles } from './MemoryFiles.js'
import { MemoryNetwork } from './MemoryNetwork.js'

const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} }

/** @returns random numbers from 0 up to but not including 1, the same sequence for the same seed */
export function seededRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}

/** One host of a test cluster. */
export interface ClusterHost extends SheetReplica {
  address: string
  files: MemoryFiles
  counters: Counters
  isRunning: boolean
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
}

/** Replicas of the accepted sheets in one process, on a paused clock. */
export class SheetCluster {
  readonly network = new MemoryNetwork()
  readonly hosts: ClusterHost[] = []
  readonly random: () => number
  readonly #context: TestContext
  readonly #limits: Partial<ReplicaLimits>
  #voterAddresses: string[] = []
  #createdIdentities = 0

  constructor (context: TestContext, seed: number, limits: Partial<ReplicaLimits> = {}) {
    this.#context = context
    this.#limits = limits
    this.random = seededRandom(seed)
    pauseClock(context)
  }

  /** @returns a bootstrapped cluster of `size` replicas, with a leader */
  static async start (context: TestContext, seed: number, size = 5, limits: Partial<ReplicaLimits> = {}): Promise<SheetCluster> {
    const cluster = new SheetCluster(context, seed, limits)
    for (let number = 0; number < size; number += 1) await cluster.addHost()
    await cluster.waitFor(cluster.bootstrap(0))
    cluster.#voterAddresses = cluster.listAddresses()
    await cluster.waitForLeader()
    return cluster
  }

  /** Adds a replica with an empty data folder. */
  async addHost (files = new MemoryFiles(this.random)): Promise<ClusterHost> {
    return this.#createAndOpen(this.hosts.length, files)
  }

  /** Sends the bootstrap command to a host. */
  bootstrap (number: number): Promise<unknown> {
    return this.getHost(number).replicatedLog.bootstrap(this.listAddresses())
  }

  /** Crashes a host during a later file operation, counted from the current one. */
  scheduleCrash ({ files }: ClusterHost, operation: number): void {
    files.fault = Fault.Crash
    files.faultAtOperation = files.operationCount + operation
  }

  getHost (number: number): ClusterHost {
    return this.hosts[number] as ClusterHost
  }

  listAddresses (): string[] {
    return this.hosts.map(({ address }) => address)
  }

  listRunning (): ClusterHost[] {
    return this.hosts.filter(({ isRunning }) => isRunning)
  }

  /** Crashes a host; data that was not durable may be lost. */
  kill (host: ClusterHost): void {
    host.isRunning = false
    host.files.crash()
    this.network.removeHost(host.address)
    host.replicatedLog.stop().catch(() => {})
  }

  /** Starts a killed host with the files that survived on its disk. */
  async restart (host: ClusterHost): Promise<ClusterHost> {
    return this.#createAndOpen(this.hosts.indexOf(host), host.files.createSurvivor())
  }

  /** Starts a killed host with an empty disk. */
  async restartWithEmptyDisk (host: ClusterHost): Promise<ClusterHost> {
    return this.#createAndOpen(this.hosts.indexOf(host), new MemoryFiles(this.random))
  }

  async advance (milliseconds: number): Promise<void> {
    await advance(this.#context, milliseconds)
  }

  /** Advances the clock until a promise is settled. */
  async waitFor<Result> (promise: Promise<Result>, limitMilliseconds = 60_000): Promise<Result> {
    const state = { settled: false }
    const settle = (): void => { state.settled = true }
    promise.then(settle, settle)
    await this.advanceUntil(() => state.settled, 'still waiting', limitMilliseconds)
    return promise
  }

  /** Advances the clock until a condition holds; fails after the limit. */
  async advanceUntil (condition: () => boolean, failureText: string, limitMilliseconds = 30_000): Promise<void> {
    for (let passedMilliseconds = 0; passedMilliseconds < limitMilliseconds && !condition(); passedMilliseconds += 10) await this.advance(10)
    assert.ok(condition(), failureText)
  }

  listLeaders (): ClusterHost[] {
    return this.listRunning().filter(({ replicatedLog }) => replicatedLog.status().hasQuorum)
  }

  /** Waits until exactly one leader has a quorum. */
  async waitForLeader (): Promise<ClusterHost> {
    await this.advanceUntil(() => this.listLeaders().length === 1, 'no leader')
    return this.listLeaders()[0] as ClusterHost
  }

  listFollowers (): ClusterHost[] {
    return this.listRunning().filter(({ replicatedLog }) => replicatedLog.status().role === ReplicaRole.Follower)
  }

  submit (host: ClusterHost, number: number, content = `sheet ${number}`, operator = 'ana'): Promise<SubmitAnswer> {
    return host.registry.submit({ number, digest: digestOf(content), content, operator })
  }

  /** Submits sheets one after another. */
  async submitMany (host: ClusterHost, firstNumber: number, lastNumber: number): Promise<void> {
    for (let number = firstNumber; number <= lastNumber; number += 1) await this.waitFor(this.submit(host, number))
  }

  /** Waits until all running replicas have a sheet as their newest one. */
  async waitForSheet (number: number): Promise<void> {
    await this.advanceUntil(() => this.listRunning().every(({ registry }) => registry.current()?.number === number), `not all at ${number}`)
  }

  /** Adds a replica that answers calls before it has read its data folder. */
  addUnopened (index = this.hosts.length, files = new MemoryFiles(this.random)): ClusterHost {
    return this.#createHost(index, files)
  }

  /** Opens a replica's data folder and starts the replica. */
  async open (host: ClusterHost): Promise<ClusterHost> {
    await this.waitFor(host.replicatedLog.open())
    host.replicatedLog.start()
    return host
  }

  async #createAndOpen (index: number, files: MemoryFiles): Promise<ClusterHost> {
    return await this.open(this.#createHost(index, files))
  }

  #createHost (index: number, files: MemoryFiles): ClusterHost {
    const address = `127.0.0.${index + 1}:7000`
    const { callPeer, registerHandler } = this.network.addHost(address)
    const counters = new Counters()
    const makeIdentity = (): string => `replica-${++this.#createdIdentities}`
    const replica = createSheetReplica({
      folder: '/data', files, address, callPeer, registerHandler, random: this.random, makeIdentity, log: silentLog, counters, limits: this.#limits, replicaAddresses: () => this.#voterAddresses, pack: async (content) => gzipSync(content).toString('base64')
    })
    const host = { ...replica, address, files, counters, isRunning: true, callPeer, registerHandler }
    this.hosts[index] = host
    return host
  }
}
