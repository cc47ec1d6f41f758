import { randomUUID } from 'node:crypto'
import { listVoters } from '../agreement/ReplicaConfiguration.js'
import { diskFiles } from '../agreement/storage/diskFiles.js'
import { CrashExchange } from '../crashes/CrashExchange.js'
import { StateFeed } from '../follow/StateFeed.js'
import { PlanEntryKind, type PlanEntry } from '../plan/PlanEntry.js'
import { PlanRegistry } from '../plan/PlanRegistry.js'
import type { PlanResult } from '../plan/PlanResult.js'
import { RestoredPlans } from '../plan/RestoredPlans.js'
import { PlanState, type StoredPlanState } from '../plan/PlanState.js'
import type { QuotaDesk } from '../quota/QuotaDesk.js'
import type { ControlHost } from '../registry/ControlHost.js'
import { EntryHostTable } from '../registry/EntryHostTable.js'
import { RegistryOrigin } from '../registry/RegistryMessages.js'
import { RegistrySharer } from '../registry/RegistrySharer.js'
import { UpstreamRegistry } from '../registry/UpstreamRegistry.js'
import { UpstreamTable } from '../registry/UpstreamTable.js'
import { Step } from '../types/Step.js'
import type { ControlHostOptions } from './ControlHostOptions.js'
import { computeNeededVoters } from './computeNeededVoters.js'
import { ControlHostTable } from './ControlHostTable.js'
import { createQuotaDesk } from './createQuotaDesk.js'
import { createRecoveryFile } from './createRecoveryFile.js'
import { PlanReplica } from './PlanReplica.js'
import type { RecoveryFile } from './RecoveryFile.js'

/** Number of announcement periods without an announcement after which an upstream counts as lost. */
const LOST_ANNOUNCEMENT_PERIODS = 3
/** Time after which a started control host knows all entry hosts: each report is passed on within half a second. */
const DIRECTORY_WARM_UP_MILLISECONDS = 1_200

/** A control host: stores plans durably, accepts announcements of upstreams, and informs entry hosts and guests. */
export class ControlHostProcess {
  readonly plans: PlanRegistry
  readonly upstreams: UpstreamRegistry
  readonly entryHosts = new EntryHostTable()
  readonly #options: ControlHostOptions
  readonly #planState = new PlanState()
  readonly #upstreamTable: UpstreamTable
  readonly #crashes: CrashExchange
  readonly #replica: PlanReplica
  readonly #controlHosts: ControlHostTable
  readonly #stateFeed: StateFeed
  readonly #registrySharer: RegistrySharer
  readonly #recoveryFile: RecoveryFile
  readonly #quotaDesk: QuotaDesk
  readonly #planSource = new RestoredPlans(this.#planState)
  #startedAt = Number.POSITIVE_INFINITY

  /** @param options - settings, transport, counters and log */
  constructor (options: ControlHostOptions) {
    this.#options = options
    const { peerAddress, announcementMilliseconds } = options.settings()
    this.#upstreamTable = new UpstreamTable({ lostMilliseconds: LOST_ANNOUNCEMENT_PERIODS * announcementMilliseconds })
    this.#replica = this.#createReplica()
    this.#controlHosts = new ControlHostTable(peerAddress, () => this.#listSeedsAndMembers())
    this.#crashes = this.#createCrashExchange()
    this.#stateFeed = this.#createFeed()
    this.#registrySharer = this.#createSharer()
    this.#recoveryFile = createRecoveryFile(options, { plans: this.#planSource, upstreams: this.#upstreamTable, registry: this.#registrySharer, crashes: this.#crashes })
    this.#quotaDesk = createQuotaDesk(options, this.#controlHosts, () => this.#describeSelf())
    this.plans = new PlanRegistry({
      state: this.#planState,
      propose: (entry) => this.#replica.propose(entry),
      waitApplied: (index) => this.#replica.waitUntilApplied(index),
      log: options.log
    })
    this.upstreams = new UpstreamRegistry({
      upstreams: this.#upstreamTable,
      sharer: this.#registrySharer,
      isKnownService: (service) => this.#isKnownService(service),
      onChange: () => { this.#publishChange() },
      log: options.log
    })
  }

  /** Whether the host can answer lookups of guests: it has had time to receive all reports, and knows an entry host. */
  get knowsEntryHosts (): boolean {
    return performance.now() - this.#startedAt >= DIRECTORY_WARM_UP_MILLISECONDS && this.entryHosts.count > 0
  }

  /** Number of voting members of the replica group, as far as this host knows. */
  get voterCount (): number {
    return listVoters(this.#replica.status.configuration).length
  }

  /** Restores the state from disk and starts the replica. Must be finished before calls of peers are answered. */
  async open (): Promise<void> {
    await this.#restoreState()
    await this.#replica.open()
  }

  /** Joins the replica group, merges the registries of the peers, and begins to answer entry hosts. */
  async start (): Promise<void> {
    const { log } = this.#options
    const onFailure = (error: unknown): void => { log.error('control-task-failed', { step: Step.Registry, cause: String(error) }) }
    this.#replica.manageGroup()
    await this.#registrySharer.fetchFromPeers()
    this.#registrySharer.run().catch(onFailure)
    this.#crashes.start()
    this.#startedAt = performance.now()
    this.#recoveryFile.start()
    this.#stateFeed.open()
    this.#updateQuotas()
  }

  /**
   * Hands over the leadership, and stops.
   *
   * @param finishCalls - waits until calls in flight are answered; a change that was accepted is confirmed before the host stops
   */
  async stop (finishCalls: () => Promise<void> = async () => {}): Promise<void> {
    await Promise.all([this.#replica.handOver(), this.#quotaDesk.stop()])
    await finishCalls()
    this.#registrySharer.stop()
    this.#crashes.stop()
    this.#recoveryFile.stop()
    await this.#replica.stop()
  }

  #createReplica (): PlanReplica {
    const { settings, files = diskFiles, callPeer, registerHandler, random, restart, log, counters } = this.#options
    const { dataFolder, peerAddress, isFirstStart } = settings()
    return new PlanReplica({
      replica: {
        folder: dataFolder,
        files,
        address: peerAddress,
        callPeer,
        registerHandler,
        apply: (entry, index) => this.#apply(entry, index),
        snapshot: () => this.#planState.snapshot(),
        restore: (stored) => { this.#restorePlans(stored as StoredPlanState | undefined) },
        random,
        log,
        counters
      },
      group: { seeds: () => settings().seeds, isFirstStart, listPeers: () => this.#controlHosts.listPeers(), desiredVoters: () => settings().wantedVoters, neededVoters: () => computeNeededVoters(settings()) },
      onReset: () => { this.#restorePlans(undefined) },
      onFailure: restart
    })
  }

  /** Replaces the applied state. The newest known plan stays in force at entry hosts until the log has brought it again. */
  #restorePlans (stored: StoredPlanState | undefined): void {
    const { plan, evacuated, evacuationRevision } = this.#planSource
    this.#planSource.restore({ plan, evacuated, evacuationRevision })
    this.#planState.restore(stored)
    this.upstreams.acceptHeld()
    this.#publishChange()
  }

  #apply (entry: PlanEntry, index: number): PlanResult {
    const previousVersion = this.#planState.plan?.version
    const result = this.#planState.apply(entry, index)
    if (entry.kind === PlanEntryKind.Submit) this.upstreams.acceptHeld()
    if (entry.kind !== PlanEntryKind.Barrier) this.#publishChange()
    const { plan, evacuated } = this.#planState
    this.#options.log.info('entry-applied', { step: Step.PlanSubmit, kind: entry.kind, index, result, before: previousVersion, version: plan?.version, evacuated: evacuated.join(',') })
    return result
  }

  #createFeed (): StateFeed {
    return new StateFeed({
      feed: randomUUID(),
      plans: this.#planSource,
      upstreams: this.#upstreamTable,
      entryHosts: this.entryHosts,
      crashes: this.#crashes.table,
      isCurrent: () => this.#replica.status.isCurrent,
      listControlHosts: () => [this.#describeSelf(), ...this.#controlHosts.listOthers()],
      registerHandler: this.#options.registerHandler
    })
  }

  #createCrashExchange (): CrashExchange {
    const { settings, callPeer, registerHandler, log } = this.#options
    return new CrashExchange({
      hostName: () => settings().peerAddress,
      listPeers: () => this.#controlHosts.listPeers(),
      callPeer,
      registerHandler,
      persist: () => this.#recoveryFile.flush(),
      onChange: () => { this.#publishChange() },
      log
    })
  }

  #createSharer (): RegistrySharer {
    const { settings, callPeer, registerHandler, log } = this.#options
    return new RegistrySharer({
      upstreams: this.#upstreamTable,
      entryHosts: this.entryHosts,
      callPeer,
      registerHandler,
      listPeers: () => this.#controlHosts.listPeers(),
      isRemote: (address) => this.#controlHosts.isInOtherRegion(address, settings().region),
      listVoters: () => this.#replica.listOtherVoters(),
      isVoter: () => this.#replica.isVoter,
      majoritySize: () => this.#replica.majoritySize,
      persist: () => this.#recoveryFile.flush(),
      firstOrigin: () => this.#recoveryFile.registryOrigin ?? (settings().isFirstStart ? RegistryOrigin.Merged : RegistryOrigin.Empty),
      hasLocalReport: (name) => this.#stateFeed.hasRecentReport(name),
      describeSelf: () => this.#describeSelf(),
      onControlHost: (host) => { this.#controlHosts.recordContact(host) },
      isContactWanted: () => this.#quotaDesk.isActive,
      onChange: () => { this.#publishChange() },
      log
    })
  }

  async #restoreState (): Promise<void> {
    const record = await this.#recoveryFile.read()
    if (record === undefined) return
    this.#planSource.restore(record)
    this.#upstreamTable.restore(record.upstreams, record.ageMilliseconds)
    this.#crashes.restore(record.crashes)
    this.#options.log.info('state-recalled', { step: Step.Storage, plan: record.plan?.version, evacuated: record.evacuated.join(','), upstreams: record.upstreams.length, age: record.ageMilliseconds })
  }

  /** Sends a change to the entry hosts, and writes it to the recovery file. */
  #publishChange (): void {
    this.#stateFeed?.notifyChange()
    this.#recoveryFile?.scheduleWrite()
    this.#updateQuotas()
  }

  /** Quotas are shared from the start on: before it, the other control hosts can't be called. */
  #updateQuotas (): void {
    if (performance.now() >= this.#startedAt) this.#quotaDesk.setAccounts(this.#planSource.plan?.accounts)
  }

  #describeSelf (): ControlHost {
    const { peerAddress, domain, region } = this.#options.settings()
    return { peerAddress, domain, region }
  }

  #listSeedsAndMembers (): string[] {
    return [...this.#options.settings().seeds, ...this.#replica.status.configuration.members.map(({ address }) => address)]
  }

  #isKnownService (service: string): boolean {
    return this.#planSource.plan?.services.some(({ name }) => name === service) ?? true
  }
}
