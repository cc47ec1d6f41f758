import {
  BudgetLeases, LinkBudgets, makeHostScopes, PlaceCaps, PlaceState, RampFollower,
  type CapUse, type Counters, type Log, type Member, type PoolSummary, type ServiceCap, type Settings, type Sheet, type HostTransport
} from '../hibiscusrelay.js'

/** Number of steps between 0 and 1 to which the published open share of a ramp is rounded. */
const OPEN_SHARE_STEPS = 100

/** Dependencies of {@link HostLimits}. */
export interface HostLimitsOptions {
  settings: Settings
  transport: HostTransport
  members: () => Member[]
  counters: Counters
  log: Log
}

/** Limits that a host enforces: the caps of its place, and the budgets of the links that leave its region. */
export class HostLimits implements ServiceCap {
  readonly linkBudgets: LinkBudgets
  readonly #budgetLeases: BudgetLeases
  readonly #placeCaps: PlaceCaps
  readonly #rampFollower: RampFollower
  readonly #domain: string
  #localPlace: string | undefined

  /** @param options - settings, transport and membership */
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

  /** Applies the limits of the sheet in force. */
  apply (sheet: Sheet): void {
    const localPlaces = [...sheet.places.values()].filter((place) => place.failureDomain === this.#domain)
    this.#localPlace = (localPlaces.find((place) => place.state === PlaceState.Open) ?? localPlaces[0])?.name
    this.#placeCaps.updateLimits(sheet.caps, sheet.places)
    this.linkBudgets.updateLimits(sheet.links)
  }

  /** @returns whether the local place admits one more request of the service now; an admitted request is counted */
  admit (service: string): boolean {
    return this.#localPlace === undefined || this.#placeCaps.tryAdmit(service, this.#localPlace)
  }

  /** @returns requests per second of the service that the local place currently admits, Infinity without a cap */
  rate (service: string): number {
    return this.#localPlace === undefined ? Infinity : this.#placeCaps.rate(service, this.#localPlace)
  }

  /** Counts a request of the service that was refused before it asked for admission. */
  recordDemand (service: string): void {
    if (this.#localPlace !== undefined) this.#placeCaps.recordDemand(service, this.#localPlace)
  }

  /** @returns the pools, each with the open share of its ramp in the local place, rounded to 1 / {@link OPEN_SHARE_STEPS} */
  addOpenShares (pools: PoolSummary[]): PoolSummary[] {
    return pools.map((pool) => {
      const openShare = this.#localPlace === undefined ? undefined : this.#placeCaps.openShare(pool.service, this.#localPlace)
      return openShare === undefined ? pool : { ...pool, openShare: Math.round(openShare * OPEN_SHARE_STEPS) / OPEN_SHARE_STEPS }
    })
  }

  /** Applies the open shares that the owners of the local failure domain publish. */
  applyMemberUpdates (members: readonly Member[]): void {
    this.#rampFollower.update(members)
  }

  /** @returns the use of each cap of the local place by this host */
  listCapUse (): CapUse[] {
    return this.#placeCaps.listUse()
  }

  /** Starts sharing the budgets with the other hosts by leases. */
  start (): void {
    this.#budgetLeases.start()
  }

  /** Stops, and returns leases and promises to the other hosts. */
  async stop (): Promise<void> {
    await this.#budgetLeases.leave()
  }
}
