import {
  AnnouncementHandler, CrashReporter, Ingress, Owner, PoisonGuard, PoolRegistry, RetryBudget, SuspectRuns, forwardToOwner, serveForwarded,
  type ChooseOwner, type ClaimLedger, type Counters, type HostIdentity, type HostMemory, type LinkBudgets, type Log, type RelayAnswer, type RelayedRequest, type ServiceCap, type Settings, type HostTransport, type StopWindow
} from '../hibiscusrelay.js'

const EXPIRY_CHECK_INTERVAL_MILLISECONDS = 100

/** Dependencies of a {@link HostRelay}. */
export interface HostRelayOptions {
  settings: Settings
  incarnation: number
  transport: HostTransport
  ledger: ClaimLedger
  stopWindow: StopWindow
  chooseOwner: ChooseOwner
  /** Caps of the services in the local place. */
  cap: ServiceCap
  /** Budgets of the links that leave the local region. */
  linkBudgets: LinkBudgets
  /** Live hosts of the local failure domain that may own pools. */
  domainHosts: () => HostIdentity[]
  /** Returns a signal that is aborted as soon as the membership considers a host suspect or dead. */
  lossSignal: (host: string) => AbortSignal
  /** All other hosts that can be reached. */
  otherHosts: () => HostIdentity[]
  /** Bounds what messages hold. */
  memory: HostMemory
  counters: Counters
  log: Log
}

/** Relay of one host: creates and connects its ingress, owner and announcement handler. */
export class HostRelay {
  readonly pools: PoolRegistry
  readonly poison = new PoisonGuard()
  readonly announcements: AnnouncementHandler
  readonly owner: Owner
  readonly ingress: Ingress
  readonly #options: HostRelayOptions
  readonly #suspectRuns: SuspectRuns
  readonly #retryBudgetsByService = new Map<string, RetryBudget>()
  #relaysInFlight = 0
  #expiryTimer: NodeJS.Timeout | undefined

  /** @param options - settings and components of the host */
  constructor (options: HostRelayOptions) {
    const { settings, counters, log } = options
    this.#options = options
    this.pools = new PoolRegistry({ queueLength: settings.limits.queueLength, cap: options.cap })
    this.announcements = new AnnouncementHandler({
      self: settings.host,
      incarnation: options.incarnation,
      leaseMilliseconds: settings.timings.leaseMilliseconds,
      announcementMilliseconds: settings.timings.announcementMilliseconds,
      pools: this.pools,
      domainHosts: options.domainHosts,
      counters,
      log
    })
    const { callPeer, registerHandler } = options.transport
    this.#suspectRuns = new SuspectRuns({ poison: this.poison, pools: this.pools, self: settings.host, otherHosts: options.otherHosts, callPeer, registerHandler, counters })
    this.owner = this.#createOwner()
    this.ingress = this.#createIngress()
    this.#registerHandlers()
  }

  /** Number of requests in progress: the larger of those forwarded by other hosts and those in the pools of this host. */
  get requestCount (): number {
    return Math.max(this.#relaysInFlight, this.pools.requestCount)
  }

  /** Starts the periodic removal of upstreams whose grants have expired. */
  start (): void {
    this.#expiryTimer = setInterval(() => { this.announcements.removeExpired() }, EXPIRY_CHECK_INTERVAL_MILLISECONDS)
  }

  /** Stops the removal and closes the connections to all upstreams. */
  async stop (): Promise<void> {
    clearInterval(this.#expiryTimer)
    const upstreams = this.pools.list().flatMap((pool) => [...pool.upstreams.values()])
    await Promise.all(upstreams.map(async (upstream) => { await upstream.close() }))
  }

  #createOwner (): Owner {
    const { settings, counters, log } = this.#options
    const crashReporter = new CrashReporter({
      poison: this.poison,
      notifyPeers: (records) => this.#suspectRuns.reportLosses(records),
      onDead: (upstream) => { this.announcements.removeDead(upstream) },
      counters,
      log
    })
    return new Owner({
      pools: this.pools,
      poison: this.poison,
      retryBudget: (service) => this.#getRetryBudget(service),
      onBroken: (upstream) => crashReporter.checkUpstream(upstream),
      isAlive: async (upstream) => await crashReporter.isAlive(upstream) && this.pools.has(upstream),
      beginSuspect: (request) => this.#suspectRuns.begin(request),
      onCleared: (record) => { this.#suspectRuns.reportCleared(record).catch(() => {}) },
      answerBufferBytes: settings.limits.answerBufferBytes,
      answerBudget: this.#options.memory.answers,
      counters,
      log
    })
  }

  #createIngress (): Ingress {
    const { chooseOwner, ledger, stopWindow, counters } = this.#options
    return new Ingress({
      chooseOwner,
      ledger,
      stopWindow,
      sendToOwner: (host, request) => this.#sendToOwner(host, request),
      poison: this.poison,
      retryBudget: (service) => this.#getRetryBudget(service),
      counters
    })
  }

  #registerHandlers (): void {
    const { settings, transport, linkBudgets, stopWindow } = this.#options
    const spendLink = (toRegion: string, bytes: number): boolean => linkBudgets.trySpend(settings.host.region, toRegion, bytes)
    transport.server.registerRelay(async (head, body, message, response) => {
      this.#relaysInFlight += 1
      response.once('close', () => { this.#relaysInFlight -= 1 })
      await serveForwarded({ owner: this.owner, poison: this.poison, stopWindow, spendLink, encodedHead: head, body }, message, response)
    })
  }

  async #sendToOwner (host: HostIdentity, request: RelayedRequest): Promise<RelayAnswer> {
    const { settings, transport, linkBudgets } = this.#options
    if (host.name === settings.host.name) return await this.owner.serve(request)
    return await forwardToOwner(request, {
      address: host.peerAddress,
      poison: this.poison,
      gone: this.#options.lossSignal(host.name),
      takeRetry: () => this.#getRetryBudget(request.service).trySpend(),
      fromRegion: settings.host.region,
      trySpend: (bytes) => linkBudgets.trySpend(settings.host.region, host.region, bytes),
      connections: transport.connections.to(host.peerAddress),
      signature: transport.signature,
      answerBufferBytes: settings.limits.answerBufferBytes,
      answerBudget: this.#options.memory.answers
    })
  }

  #getRetryBudget (service: string): RetryBudget {
    const existingBudget = this.#retryBudgetsByService.get(service)
    if (existingBudget !== undefined) return existingBudget
    const budget = new RetryBudget(this.#options.settings.limits.retryPercent)
    this.#retryBudgetsByService.set(service, budget)
    return budget
  }
}
