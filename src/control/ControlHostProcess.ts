import { randomUUID } from 'node:crypto'
import { rm } from 'node:fs/promises'
import { majorityOf, votersOf } from '../agreement/ReplicaConfiguration.js'
import { ReplicatedLog } from '../agreement/ReplicatedLog.js'
import { diskFiles } from '../agreement/storage/diskFiles.js'
import { LossBoard } from '../follow/LossBoard.js'
import { StateFeed } from '../follow/StateFeed.js'
import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import { PlanEntryKind, type PlanEntry } from '../plan/PlanEntry.js'
import { PlanRegistry } from '../plan/PlanRegistry.js'
import type { PlanResult } from '../plan/PlanResult.js'
import { RecalledPlans } from '../plan/RecalledPlans.js'
import { PlanState, type StoredPlanState } from '../plan/PlanState.js'
import type { ControlHost } from '../registry/ControlHost.js'
import { EntryHostTable } from '../registry/EntryHostTable.js'
import { RegistrySharer } from '../registry/RegistrySharer.js'
import { UpstreamRegistry } from '../registry/UpstreamRegistry.js'
import { UpstreamTable } from '../registry/UpstreamTable.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'
import { ControlHostTable } from './ControlHostTable.js'
import { RecoveryFile } from './RecoveryFile.js'
import { ReplicaKeeper } from './ReplicaKeeper.js'

/** Announcement periods of silence after which an upstream counts as lost. */
const LOST_PERIODS = 3
/** Wait for this replica to apply what the leader has committed: one heartbeat of the leader, and some more. */
const APPLY_MILLISECONDS = 800
const APPLY_POLL_MILLISECONDS = 10
/** How soon after its start a control host knows all entry hosts: each is told on within half a second. */
const DIRECTORY_MILLISECONDS = 1_200

/** Settings of a control host; the changeable ones are read anew at each use. */
export interface ControlHostSettings {
  peerAddress: string
  domain: string
  region: string
  dataFolder: string
  /** Peer addresses of the hosts that form the replica group. */
  seeds: string[]
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean
  /** Voters of a whole replica group. */
  wantedVoters: number
  announcementMilliseconds: number
}

/** What a control host works with. */
export interface ControlHostOptions {
  settings: () => ControlHostSettings
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** Ends the process, which is then started anew. */
  restart: () => void
  random: () => number
  counters: Counters
  log: Log
}

/** A host that keeps plans durable, hears upstreams, and tells entry hosts and guests. */
export class ControlHostProcess {
  readonly plans: PlanRegistry
  readonly upstreams: UpstreamRegistry
  readonly entryHosts = new EntryHostTable()
  readonly #options: ControlHostOptions
  readonly #state = new PlanState()
  readonly #table: UpstreamTable
  readonly #replica: ReplicatedLog<PlanEntry, PlanResult>
  readonly #hosts: ControlHostTable
  readonly #feed: StateFeed
  readonly #sharer: RegistrySharer
  readonly #keeper: ReplicaKeeper
  readonly #recovery: RecoveryFile
  readonly #recalledPlans = new RecalledPlans(this.#state)
  #startedAt = Number.POSITIVE_INFINITY

  /** @param options - settings and transport */
  constructor (options: ControlHostOptions) {
    this.#options = options
    const { peerAddress, announcementMilliseconds } = options.settings()
    this.#table = new UpstreamTable({ lostMilliseconds: LOST_PERIODS * announcementMilliseconds })
    this.#replica = this.#createReplica()
    this.#hosts = new ControlHostTable(peerAddress, () => this.#listExpected())
    this.#feed = this.#createFeed()
    this.#sharer = this.#createSharer()
    this.#keeper = this.#createKeeper()
    this.#recovery = this.#createRecovery()
    this.plans = new PlanRegistry({
      state: this.#state,
      propose: (entry) => this.#replica.propose(entry),
      waitApplied: (index) => this.#waitApplied(index),
      log: options.log
    })
    this.upstreams = new UpstreamRegistry({
      upstreams: this.#table,
      sharer: this.#sharer,
      isKnownService: (service) => this.#isKnownService(service),
      onChange: () => { this.#noteChange() },
      log: options.log
    })
  }

  /** Whether the host can tell guests where to connect. */
  get knowsEntryHosts (): boolean {
    return performance.now() - this.#startedAt >= DIRECTORY_MILLISECONDS && this.entryHosts.count > 0
  }

  /** Reads the disk; to be done before peers are answered. */
  async open (): Promise<void> {
    await this.#recall()
    await this.#replica.open()
    this.#replica.start()
  }

  /** Takes part. */
  async start (): Promise<void> {
    const { log } = this.#options
    const onFailure = (error: unknown): void => { log.error('control-task-failed', { step: Step.Registry, cause: String(error) }) }
    this.#keeper.run().catch(onFailure)
    await this.#sharer.fetchFromPeers()
    this.#sharer.run().catch(onFailure)
    this.#startedAt = performance.now()
    this.#feed.open()
  }

  /** Hands the leadership over, and stops. */
  async stop (): Promise<void> {
    this.#keeper.stop()
    await this.#replica.handOver()
    this.#sharer.stop()
    await this.#replica.stop()
  }

  #createReplica (): ReplicatedLog<PlanEntry, PlanResult> {
    const { settings, callPeer, registerHandler, random, log, counters } = this.#options
    return new ReplicatedLog<PlanEntry, PlanResult>({
      folder: settings().dataFolder,
      files: diskFiles,
      address: settings().peerAddress,
      callPeer,
      registerHandler,
      apply: (entry, index) => this.#apply(entry, index),
      snapshot: () => this.#state.snapshot(),
      restore: (stored) => {
        this.#state.restore(stored as StoredPlanState | undefined)
        this.#noteChange()
      },
      random,
      makeIdentity: randomUUID,
      log,
      counters
    })
  }

  #apply (entry: PlanEntry, index: number): PlanResult {
    const before = this.#state.plan?.version
    const result = this.#state.apply(entry, index)
    if (entry.kind !== PlanEntryKind.Barrier) this.#noteChange()
    const { plan, evacuated } = this.#state
    this.#options.log.info('entry-applied', { step: Step.PlanSubmit, kind: entry.kind, index, result, before, version: plan?.version, evacuated: evacuated.join(',') })
    return result
  }

  #createFeed (): StateFeed {
    return new StateFeed({
      feed: randomUUID(),
      plans: this.#recalledPlans,
      upstreams: this.#table,
      entryHosts: this.entryHosts,
      losses: new LossBoard(),
      isCurrent: () => this.#replica.status().isCurrent,
      listControlHosts: () => [this.#describe(), ...this.#hosts.describe()],
      registerHandler: this.#options.registerHandler
    })
  }

  #createSharer (): RegistrySharer {
    const { callPeer, registerHandler, log } = this.#options
    return new RegistrySharer({
      upstreams: this.#table,
      entryHosts: this.entryHosts,
      callPeer,
      registerHandler,
      listPeers: () => this.#hosts.listPeers(),
      listVoters: () => votersOf(this.#replica.status().configuration).map(({ address }) => address).filter((address) => address !== this.#options.settings().peerAddress),
      majority: () => majorityOf(this.#replica.status().configuration),
      isOwnReport: (name) => this.#feed.isReporter(name),
      describeSelf: () => this.#describe(),
      onControlHost: (host) => { this.#hosts.hear(host) },
      onChange: () => { this.#noteChange() },
      log
    })
  }

  #createKeeper (): ReplicaKeeper {
    const { settings, callPeer, log, restart } = this.#options
    const { peerAddress, isFirstStart, dataFolder } = settings()
    return new ReplicaKeeper({
      replica: this.#replica,
      address: peerAddress,
      seeds: () => settings().seeds,
      isFirstStart,
      listPeers: () => this.#hosts.listPeers(),
      wantedVoters: () => settings().wantedVoters,
      callPeer,
      onRetired: () => { this.#replica.stop().then(() => rm(dataFolder, { recursive: true })).then(restart, restart) },
      log
    })
  }

  #createRecovery (): RecoveryFile {
    const { settings, log } = this.#options
    return new RecoveryFile({
      files: diskFiles,
      folder: settings().dataFolder,
      describe: () => {
        const { plan, evacuated, evacuationRevision } = this.#recalledPlans
        return { plan, evacuated, evacuationRevision, upstreams: this.#table.describe() }
      },
      log
    })
  }

  async #recall (): Promise<void> {
    const record = await this.#recovery.read()
    if (record === undefined) return
    this.#recalledPlans.recall(record)
    this.#table.recall(record.upstreams)
    this.#options.log.info('state-recalled', { step: Step.Storage, plan: record.plan?.version, evacuated: record.evacuated.join(','), upstreams: record.upstreams.length })
  }

  /** Tells entry hosts of a change, and keeps it for a restart. */
  #noteChange (): void {
    this.#feed?.announce()
    this.#recovery?.noteChange()
  }

  #describe (): ControlHost {
    const { peerAddress, domain, region } = this.#options.settings()
    return { peerAddress, domain, region }
  }

  #listExpected (): string[] {
    return [...this.#options.settings().seeds, ...this.#replica.status().configuration.members.map(({ address }) => address)]
  }

  #isKnownService (service: string): boolean {
    const { plan } = this.#state
    return plan === undefined || plan.services.some(({ name }) => name === service)
  }

  async #waitApplied (index: number): Promise<boolean> {
    const deadline = performance.now() + APPLY_MILLISECONDS
    while (this.#replica.status().appliedIndex < index) {
      if (performance.now() > deadline) return false
      await pause(APPLY_POLL_MILLISECONDS)
    }
    return true
  }
}
