import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { CrashSharer } from '../crashes/CrashSharer.js'
import { CrashTable } from '../crashes/CrashTable.js'
import { logLearnedCrashes } from '../crashes/logLearnedCrashes.js'
import type { CrashReport } from '../crashes/CrashReport.js'
import { ControlFollower } from '../follow/ControlFollower.js'
import { KnownState } from '../follow/KnownState.js'
import { StopWindow } from '../limits/StopWindow.js'
import { EventLoopMonitor } from '../observe/EventLoopMonitor.js'
import { recordIdleFailure } from '../observe/recordIdleFailure.js'
import { recordListenerFault } from '../observe/recordListenerFault.js'
import { AccountQuota } from '../quota/AccountQuota.js'
import type { EntryHost } from '../registry/EntryHost.js'
import { isGone } from '../registry/UpstreamRecord.js'
import { HttpListener } from '../transport/HttpListener.js'
import { Step } from '../types/Step.js'
import { waitUntil } from '../utils/waitUntil.js'
import { CrashDetector } from './CrashDetector.js'
import type { EntryHostOptions } from './EntryHostOptions.js'
import { MAXIMUM_BUFFERED_ANSWER_BYTES, MAXIMUM_GUEST_HEAD_BYTES } from './entryMemoryLimits.js'
import { EntryRelay } from './EntryRelay.js'
import { GuestListener } from './GuestListener.js'
import { ServiceAdmission } from './ServiceAdmission.js'
import { SuspectGate } from './SuspectGate.js'
import { UpstreamConnections } from './UpstreamConnections.js'
import { UpstreamIdentifier } from './UpstreamIdentifier.js'
import { UpstreamLoads } from './UpstreamLoads.js'
import { UpstreamNotices } from './UpstreamNotices.js'
import { UpstreamRuns } from './UpstreamRuns.js'
import { UpstreamSender } from './UpstreamSender.js'

const PRUNE_INTERVAL_MILLISECONDS = 5_000
/** How long a stopping host still accepts connections: guests use an answer of the directory for some seconds. */
const CONNECTION_GRACE_MILLISECONDS = 1_500
/** Part of the stop time that is reserved for closing the remaining connections. */
const STOP_RESERVE_MILLISECONDS = 400

/** A host that accepts guests' requests under a routing plan. It stores nothing on disk. */
export class EntryHostProcess {
  readonly #options: EntryHostOptions
  readonly #known = new KnownState()
  readonly #loads = new UpstreamLoads(this.#known)
  readonly #connections = new UpstreamConnections((address, cause) => { recordIdleFailure(this.#options, address, cause) })
  readonly #runs = new UpstreamRuns()
  readonly #stopWindow = new StopWindow()
  readonly #crashes = new CrashTable()
  readonly #admission = new ServiceAdmission(this.#known, this.#loads)
  readonly #eventLoopMonitor: EventLoopMonitor
  readonly #follower: ControlFollower
  readonly #quota: AccountQuota
  readonly #crashSharer: CrashSharer
  readonly #crashDetector: CrashDetector
  readonly #listener: HttpListener
  #isListening = false
  #stopping: Promise<number> | undefined
  #pruneTimer: NodeJS.Timeout | undefined

  /** @param options - settings, protocols, metrics and log */
  constructor (options: EntryHostOptions) {
    this.#options = options
    this.#eventLoopMonitor = new EventLoopMonitor(options.log, options.counters)
    this.#follower = this.#createFollower()
    this.#quota = this.#createQuota()
    this.#crashSharer = this.#createCrashSharer()
    const identifier = new UpstreamIdentifier({ known: this.#known, connections: this.#connections, protocol: options.protocol })
    this.#crashDetector = new CrashDetector({ runs: this.#runs, crashes: this.#crashes, known: this.#known, identify: (record) => identifier.identify(record), onChange: () => { this.#crashSharer.share() }, saveLosses: (revision) => this.#crashSharer.save(revision), log: options.log })
    const guestListener = new GuestListener({ ...options, revocationMilliseconds: () => options.settings().revocationMilliseconds, known: this.#known, relay: this.#createRelay(), stopWindow: this.#stopWindow, bodies: options.memory.bodies })
    this.#listener = new HttpListener({
      address: options.settings().guestAddress,
      headerBytes: MAXIMUM_GUEST_HEAD_BYTES,
      handle: (request, response, arrivedAt) => guestListener.handle(request, response, arrivedAt),
      onMalformed: options.malformedAnswer,
      connectionMemory: options.memory.connections,
      onFault: recordListenerFault(options, 'guest')
    })
  }

  /** Whether the host accepts guests. */
  get isReady (): boolean {
    return this.#isListening && this.#stopping === undefined && this.#known.plan !== undefined
  }

  /** Starts to follow the control hosts and to listen for guests. */
  async start (): Promise<void> {
    this.#follower.run().catch((error: unknown) => { this.#options.log.error('follower-failed', { step: Step.Follow, cause: String(error) }) })
    this.#crashSharer.start()
    await this.#listener.open()
    this.#eventLoopMonitor.start()
    this.#isListening = true
    this.#pruneTimer = setInterval(() => { this.#pruneGoneUpstreams() }, PRUNE_INTERVAL_MILLISECONDS)
  }

  /**
   * Stops the host: guests are asked to disconnect, and requests in flight may end first. Requests that come meanwhile are
   * served only if their answer is due before the end. Later calls return the result of the first.
   *
   * @returns number of requests that were aborted
   */
  async stop (): Promise<number> {
    this.#stopping ??= this.#stopOnce()
    return await this.#stopping
  }

  async #stopOnce (): Promise<number> {
    const stopDeadline = performance.now() + this.#options.settings().stopMilliseconds - STOP_RESERVE_MILLISECONDS
    this.#stopWindow.begin(stopDeadline)
    this.#listener.beginClose()
    await this.#follower.report()
    await sleep(Math.min(CONNECTION_GRACE_MILLISECONDS, Math.max(0, stopDeadline - performance.now())))
    await this.#listener.closeWithin(stopDeadline - performance.now())
    // Answers that cannot be passed on are told to their guests before their upstreams have ended them.
    await waitUntil(() => this.#loads.inFlight === 0, stopDeadline)
    const abortedRequests = this.#listener.inFlight
    this.#follower.stop()
    this.#crashSharer.stop()
    clearInterval(this.#pruneTimer)
    this.#eventLoopMonitor.stop()
    return abortedRequests
  }

  #createFollower (): ControlFollower {
    const { callPeer, random, log, settings } = this.#options
    return new ControlFollower({
      seeds: () => settings().seeds,
      describeHost: () => this.#describeHost(),
      known: this.#known,
      onCrashes: (report, address) => { this.#learnCrashes(report, address) },
      onNewFeed: (address) => { this.#crashSharer.forgetConfirmations(address) },
      onUpstreams: () => { this.#crashDetector.review() },
      onPlan: () => { this.#applyPlan() },
      callPeer,
      random,
      log
    })
  }

  #createCrashSharer (): CrashSharer {
    const { settings, callPeer, log } = this.#options
    return new CrashSharer({
      hostName: () => settings().name,
      crashes: this.#crashes,
      listPeers: () => this.#follower.followedAddress === undefined ? [] : [this.#follower.followedAddress],
      callPeer,
      log
    })
  }

  #createQuota (): AccountQuota {
    const listControlHosts = (): string[] => {
      const { followedAddress } = this.#follower
      return [...followedAddress === undefined ? [] : [followedAddress], ...this.#follower.rankControlHosts()]
    }
    return new AccountQuota({ ...this.#options, client: `${this.#options.settings().name}:${randomUUID()}`, listControlHosts })
  }

  #createRelay (): EntryRelay {
    const { settings, protocol, random, callPeer, counters, latencies, log } = this.#options
    return new EntryRelay({
      hostName: settings().name,
      domain: settings().domain,
      region: settings().region,
      known: this.#known,
      loads: this.#loads,
      admission: this.#admission,
      quota: this.#quota,
      protocol,
      gate: new SuspectGate({ crashes: this.#crashes, detector: this.#crashDetector, listControlHosts: () => this.#follower.listControlHosts(), callPeer, log }),
      runs: this.#runs,
      sender: this.#createSender(),
      stopWindow: this.#stopWindow,
      retryBound: () => settings().retryBound,
      secondAttemptRatio: () => settings().secondAttemptRatio ?? 0,
      regionOf: (domain) => settings().regions.get(domain),
      random,
      counters,
      latencies,
      loopLateMilliseconds: () => this.#eventLoopMonitor.maximumLateMilliseconds,
      log
    })
  }

  #createSender (): UpstreamSender {
    const { protocol, counters, log } = this.#options
    return new UpstreamSender({
      known: this.#known,
      loads: this.#loads,
      connections: this.#connections,
      protocol,
      runs: this.#runs,
      crashes: this.#crashes,
      detector: this.#crashDetector,
      onExcuse: () => { this.#crashSharer.share() },
      notices: new UpstreamNotices({ hostName: this.#options.settings().name, known: this.#known, loads: this.#loads, onLeaving: () => { this.#pruneGoneUpstreams() }, counters, log }),
      stopWindow: this.#stopWindow,
      answerBufferBytes: MAXIMUM_BUFFERED_ANSWER_BYTES,
      answerBudget: this.#options.memory.answers,
      counters,
      log
    })
  }

  #describeHost (): EntryHost {
    const { name, domain, region, guestAddress } = this.#options.settings()
    return { name, domain, region, guestAddress, isReady: this.isReady, demand: this.#admission.listDemand() }
  }

  #learnCrashes (report: CrashReport, address: string): void {
    if (!this.#crashes.merge(report)) return
    logLearnedCrashes(this.#options.log, address, report)
    this.#crashDetector.review()
  }

  #applyPlan (): void {
    const { plan } = this.#known
    if (plan === undefined) return
    this.#quota.retain(plan.accounts ?? [])
    this.#listener.setIdleTimeout(plan.limits.idleTimeoutMilliseconds)
    this.#options.log.info('plan-in-force', { step: Step.Follow, version: plan.version, routes: plan.routes.length })
  }

  #pruneGoneUpstreams (): void {
    const isInUse = (id: string): boolean => {
      const entry = this.#known.upstreams.get(id)
      return entry !== undefined && !isGone(entry.record)
    }
    this.#known.pruneLeaving()
    this.#loads.prunePauses(performance.now())
    this.#connections.closeUnused((record) => isInUse(record.id) && !this.#known.isLeaving(record))
    this.#loads.removeUnused(isInUse)
  }
}
