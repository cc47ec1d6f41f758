import { setTimeout as sleep } from 'node:timers/promises'
import {
  Counters, createMetricSink, declareCounters, GuestInterface, HostMemory, HostTransport, HttpListener, LossSignals, MemberState, MemoryMonitor, OperatorInterface, OwnerChooser, recordListenerFault, Step, StopWindow,
  type ChoiceExplanation, type ClosableMetricSink, type HostIdentity, type Log, type Member, type Membership, type Settings, type Sheet
} from '../hibiscusrelay.js'
import { createLookup } from './createLookup.js'
import { createMembership } from './createMembership.js'
import { createOperatorRoutes } from './createOperatorRoutes.js'
import { describeStatus, type HostStatus } from './describeStatus.js'
import { HostLedger } from './HostLedger.js'
import { HostLimits } from './HostLimits.js'
import { HostRelay } from './HostRelay.js'
import { HostSheets } from './HostSheets.js'
import { DAEMON_MEMORY_LIMITS } from './daemonMemoryLimits.js'
import { createTransport } from './createTransport.js'
import { waitUntil } from '../utils/waitUntil.js'

const PUBLISH_INTERVAL_MILLISECONDS = 250
const OPERATOR_CLOSE_TIMEOUT_MILLISECONDS = 500
const MILLISECONDS_PER_SECOND = 1_000

/** One host of the system: creates all components, and starts and stops them together. */
export class Daemon {
  readonly settings: Settings
  readonly counters: Counters
  readonly membership: Membership
  readonly sheets: HostSheets
  readonly relay: HostRelay
  readonly limits: HostLimits
  readonly incarnation = Date.now()
  readonly #log: Log
  readonly #memory = new HostMemory(DAEMON_MEMORY_LIMITS)
  readonly #metricSink: ClosableMetricSink | undefined
  readonly #transport: HostTransport
  readonly #guestListener: HttpListener
  readonly #operatorListener: HttpListener
  readonly #ledger: HostLedger
  readonly #ownerChooser: OwnerChooser
  readonly #lossSignals = new LossSignals()
  readonly #memoryMonitor: MemoryMonitor
  #isDraining = false
  #publishTimer: NodeJS.Timeout | undefined
  readonly #stopWindow = new StopWindow()
  #stopping: Promise<number> | undefined

  /**
   * @param settings - checked settings of the host
   * @param log - receives the events of all components
   */
  constructor (settings: Settings, log: Log) {
    this.settings = settings
    this.#log = log
    this.#metricSink = settings.metricsAddress === undefined ? undefined : createMetricSink(settings.metricsAddress, { host: settings.host.name, domain: settings.host.domain })
    this.counters = new Counters(this.#metricSink)
    declareCounters(this.counters)
    this.#memoryMonitor = new MemoryMonitor(log, this.counters, this.#memory)
    this.#transport = createTransport(settings, this.#memory, this.counters, log)
    this.membership = createMembership(settings, this.#transport, this.counters, log)
    this.sheets = new HostSheets({ settings, transport: this.#transport, otherMembers: () => this.#listOtherMembers(), counters: this.counters, log })
    this.#ownerChooser = new OwnerChooser({ self: settings.host, members: () => this.membership.members(), currentSheet: () => this.sheets.getCurrentSheet(), random: Math.random })
    this.limits = new HostLimits({ settings, transport: this.#transport, members: () => this.membership.members(), counters: this.counters, log })
    this.#ledger = new HostLedger(settings, this.#transport, this.counters, log)
    this.relay = this.#createRelay()
    this.#guestListener = this.#createGuestListener()
    this.#operatorListener = this.#createOperatorListener()
  }

  /** Opens the listeners, joins the membership and publishes the details of this host. */
  async start (): Promise<void> {
    await this.sheets.open()
    await this.#transport.listener.open()
    await this.#operatorListener.open()
    this.membership.start()
    this.membership.subscribe(() => { this.#applyMemberUpdates() })
    this.sheets.onChange((sheet) => { this.#applySheet(sheet) })
    await this.sheets.start()
    this.limits.start()
    this.#ledger.start()
    this.relay.start()
    this.#memoryMonitor.start()
    await this.#guestListener.open()
    this.#publishDetails()
    this.#publishTimer = setInterval(() => { this.#publishDetails() }, PUBLISH_INTERVAL_MILLISECONDS)
    this.#log.info('started', { step: Step.Listen, guest: this.settings.host.guestAddress, peer: this.settings.host.peerAddress, operator: this.settings.operatorAddress })
  }

  /**
   * Stops gracefully: withdraws the host from lookups, hands its upstreams over to other hosts and finishes the running
   * requests until the stop deadline. Later calls return the result of the first.
   *
   * @returns the number of requests that were aborted at the deadline
   */
  async stop (): Promise<number> {
    this.#stopping ??= this.#stopOnce()
    return await this.#stopping
  }

  /** @returns the state of this host for operators */
  status (): HostStatus {
    return describeStatus(this, this.#isDraining, this.#guestListener.inFlight, this.#transport.bytesSent)
  }

  /** @returns an explanation of the choice of owners for requests from an address for a service */
  explain (service: string, address: string): ChoiceExplanation {
    return this.#ownerChooser.explain(service, this.sheets.getCurrentSheet()?.guestBlocks.findPlace(address))
  }

  async #stopOnce (): Promise<number> {
    const { lookupLifetimeSeconds, stopDeadlineMilliseconds } = this.settings.timings
    const deadline = performance.now() + stopDeadlineMilliseconds
    this.#isDraining = true
    this.#stopWindow.begin(deadline)
    this.#publishDetails()
    this.#guestListener.beginClose()
    this.#log.info('stopping', { step: Step.Stop, inFlight: this.#guestListener.inFlight, pooled: this.relay.requestCount })
    // Guests cache lookups for their lifetime and may still connect until then.
    await sleep(Math.min(stopDeadlineMilliseconds, lookupLifetimeSeconds * MILLISECONDS_PER_SECOND))
    await this.#guestListener.closeWithin(deadline - performance.now())
    await waitUntil(() => this.relay.requestCount === 0, deadline)
    const abortedRequests = this.#guestListener.inFlight + this.relay.requestCount
    this.#guestListener.destroy()
    await this.#closeComponents()
    this.#log.info('stopped', { step: Step.Stop, cut: abortedRequests })
    return abortedRequests
  }

  async #closeComponents (): Promise<void> {
    clearInterval(this.#publishTimer)
    this.#memoryMonitor.stop()
    await this.limits.stop()
    await this.membership.leave()
    await this.#ledger.leave()
    await this.sheets.stop()
    await this.relay.stop()
    await this.#transport.close()
    await this.#operatorListener.closeWithin(OPERATOR_CLOSE_TIMEOUT_MILLISECONDS)
    this.#operatorListener.destroy()
    this.#metricSink?.close()
  }

  #createRelay (): HostRelay {
    const { settings } = this
    return new HostRelay({
      settings,
      incarnation: this.incarnation,
      transport: this.#transport,
      ledger: this.#ledger.claimLedger,
      stopWindow: this.#stopWindow,
      chooseOwner: (context) => this.#ownerChooser.choose(context),
      cap: this.limits,
      linkBudgets: this.limits.linkBudgets,
      domainHosts: () => this.#listDomainHosts(),
      lossSignal: (host) => this.#lossSignals.signalOf(host),
      otherHosts: () => this.#listOtherHosts(),
      memory: this.#memory,
      counters: this.counters,
      log: this.#log
    })
  }

  #createGuestListener (): HttpListener {
    const { settings, counters, membership } = this
    const guestInterface = new GuestInterface({
      ingress: this.relay.ingress,
      stopWindow: this.#stopWindow,
      announcements: this.relay.announcements,
      bodies: this.#memory.bodies,
      currentSheet: () => this.sheets.getCurrentSheet(),
      lookup: createLookup({ self: settings.host, membership, ticketPrefix: () => this.#ledger.claimLedger.ticketPrefix(), timings: settings.timings }),
      ticketPrefix: () => this.#ledger.claimLedger.ticketPrefix(),
      limits: settings.limits,
      timings: settings.timings,
      counters,
      log: this.#log
    })
    return new HttpListener({
      address: settings.host.guestAddress,
      headerBytes: settings.limits.headerBytes,
      handle: (request, response, arrivedAt) => guestInterface.handle(request, response, arrivedAt),
      onMalformed: (status) => guestInterface.refuseMalformed(status),
      connectionMemory: this.#memory.connections,
      onFault: recordListenerFault({ counters, log: this.#log }, 'guest')
    })
  }

  #createOperatorListener (): HttpListener {
    const { settings, counters } = this
    const operatorInterface = new OperatorInterface({ tokens: settings.operatorTokens, routes: createOperatorRoutes(this), maximumBodyBytes: settings.limits.sheetBytes, memory: this.#memory.bodies, counters, log: this.#log })
    return new HttpListener({
      address: settings.operatorAddress,
      headerBytes: settings.limits.headerBytes,
      handle: (request, response) => operatorInterface.handle(request, response),
      onMalformed: (status) => `HTTP/1.1 ${status} Refused\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
      connectionMemory: this.#memory.connections,
      onFault: recordListenerFault({ counters, log: this.#log }, 'operator')
    })
  }

  #applyMemberUpdates (): void {
    this.sheets.applyMemberUpdates()
    this.#ownerChooser.applyMemberUpdates()
    this.limits.applyMemberUpdates(this.membership.members())
    this.#lossSignals.update(this.membership.members())
  }

  #applySheet (sheet: Sheet): void {
    this.#ownerChooser.apply(sheet)
    this.limits.apply(sheet)
    this.#publishDetails()
  }

  #publishDetails (): void {
    this.membership.describeSelf({ draining: this.#isDraining, sheetNumber: this.sheets.getCurrentSheet()?.number ?? 0, pools: this.limits.addOpenShares(this.relay.pools.summarize()) })
  }

  #listDomainHosts (): HostIdentity[] {
    const members = this.membership.members().filter(({ host, state, details }) => host.domain === this.settings.host.domain && state === MemberState.Alive && !details.draining)
    const membersWithSheet = members.filter(({ details }) => details.sheetNumber > 0)
    return (membersWithSheet.length > 0 ? membersWithSheet : members).map(({ host }) => host).filter((host) => host.name !== this.settings.host.name || !this.#isDraining)
  }

  #listOtherHosts (): HostIdentity[] {
    return this.#listOtherMembers().map(({ host }) => host)
  }

  #listOtherMembers (): Member[] {
    return this.membership.members()
      .filter(({ host, state }) => host.name !== this.settings.host.name && (state === MemberState.Alive || state === MemberState.Suspect))
  }
}
