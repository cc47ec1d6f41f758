import {
  BudgetLeases, LinkBudgets, makeHostScopes, PlaceCaps, PlaceState, RampFollower,
  type CapUse, type Counters, type Log, type Member, type PoolSummary, type ServiceCap, type Settings, type Sheet, type HostTransport
} from '../hibiscusrelay.js'

/** How finely a ramp is told to others. */
const OPEN_SHARE_STEPS = 100

/** What the limits of a host are wired to. */
export interface HostLimitsOptions {
  settings: Settings
  transport: HostTransport
  members: () => Member[]
  counters: Counters
  log: Log
}

/** The limits that a host keeps: caps of its place, and budgets of the links that leave its region. */
export class HostLimits implements ServiceCap {
  readonly linkBudgets: LinkBudgets
  readonly #budgetLeases: BudgetLeases
  readonly #placeCaps: PlaceCaps
  readonly #rampFollower: RampFollower
  readonly #domain: string
  #localPlace: string | undefined

  /** @param options - settings and connections */
  constructor (options: HostLimitsOptions) {
    const { settings, transport, members, counters, log } = options
    const { host } = settings
    this.#domain = host.domain
    this.#budgetLeases = new BudgetLeases({
      self: host.name,
      scopes: makeHostScopes(host, settings.peers),
      members,
      callPeer: transport.callPeer,
      registerHandler: transport.registerHandler,
      counters,
      log
    })
    const regionHostCount = 1 + settings.peers.filter((peer) => peer.region === host.region).length
    this.linkBudgets = new LinkBudgets(this.#budgetLeases, host.region, regionHostCount, counters)
    this.#placeCaps = new PlaceCaps(this.#budgetLeases, host.domain, counters)
    this.#rampFollower = new RampFollower(host, (service, openShare) => { if (this.#localPlace !== undefined) this.#placeCaps.follow(service, this.#localPlace, openShare) })
  }

  /** Takes the limits of the sheet now in force. */
  apply (sheet: Sheet): void {
    const localPlaces = [...sheet.places.values()].filter((place) => place.failureDomain === this.#domain)
    this.#localPlace = (localPlaces.find((place) => place.state === PlaceState.Open) ?? localPlaces[0])?.name
    this.#placeCaps.updateLimits(sheet.caps, sheet.places)
    this.linkBudgets.updateLimits(sheet.links)
  }

  /** @returns whether the own place may take one more request of the service now; it then counts as taken */
  admit (service: string): boolean {
    return this.#localPlace === undefined || this.#placeCaps.tryAdmit(service, this.#localPlace)
  }

  /** @returns requests per second of the service that the own place may take now, Infinity without a cap */
  rate (service: string): number {
    return this.#localPlace === undefined ? Infinity : this.#placeCaps.rate(service, this.#localPlace)
  }

  /** Counts a request of the service that was refused before it asked for admission. */
  recordDemand (service: string): void {
    if (this.#localPlace !== undefined) this.#placeCaps.recordDemand(service, this.#localPlace)
  }

  /** @returns the pools with how far the ramps of their place are open */
  addOpenShares (pools: PoolSummary[]): PoolSummary[] {
    return pools.map((pool) => {
      const openShare = this.#localPlace === undefined ? undefined : this.#placeCaps.openShare(pool.service, this.#localPlace)
      return openShare === undefined ? pool : { ...pool, openShare: Math.round(openShare * OPEN_SHARE_STEPS) / OPEN_SHARE_STEPS }
    })
  }

  /** Takes in what the owners of the own failure domain say of their ramps. */
  applyMemberUpdates (members: readonly Member[]): void {
    this.#rampFollower.update(members)
  }

  /** @returns what this host took of each cap of its place */
  listCapUse (): CapUse[] {
    return this.#placeCaps.listUse()
  }

  /** Starts sharing budgets with the other hosts. */
  start (): void {
    this.#budgetLeases.start()
  }

  /** Gives leases back and stops. */
  async stop (): Promise<void> {
    await this.#budgetLeases.leave()
  }
}
