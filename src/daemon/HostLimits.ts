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
  readonly links: LinkBudgets
  readonly #leases: BudgetLeases
  readonly #caps: PlaceCaps
  readonly #ramps: RampFollower
  readonly #domain: string
  #place: string | undefined

  /** @param options - settings and connections */
  constructor (options: HostLimitsOptions) {
    const { settings, transport, members, counters, log } = options
    const { host } = settings
    this.#domain = host.domain
    this.#leases = new BudgetLeases({
      self: host.name,
      scopes: makeHostScopes(host, settings.peers),
      members,
      callPeer: transport.callPeer,
      registerHandler: transport.registerHandler,
      counters,
      log
    })
    const hosts = 1 + settings.peers.filter((peer) => peer.region === host.region).length
    this.links = new LinkBudgets(this.#leases, host.region, hosts, counters)
    this.#caps = new PlaceCaps(this.#leases, host.domain, counters)
    this.#ramps = new RampFollower(host, (service, openShare) => { if (this.#place !== undefined) this.#caps.follow(service, this.#place, openShare) })
  }

  /** Takes the limits of the sheet now in force. */
  apply (sheet: Sheet): void {
    const own = [...sheet.places.values()].filter((place) => place.failureDomain === this.#domain)
    this.#place = (own.find((place) => place.state === PlaceState.Open) ?? own[0])?.name
    this.#caps.updateLimits(sheet.caps, sheet.places)
    this.links.updateLimits(sheet.links)
  }

  /** @returns whether the own place may take one more request of the service now; it then counts as taken */
  admit (service: string): boolean {
    return this.#place === undefined || this.#caps.tryAdmit(service, this.#place)
  }

  /** @returns requests per second of the service that the own place may take now, Infinity without a cap */
  rate (service: string): number {
    return this.#place === undefined ? Infinity : this.#caps.rate(service, this.#place)
  }

  /** Counts a request of the service that was refused before it asked for admission. */
  recordDemand (service: string): void {
    if (this.#place !== undefined) this.#caps.recordDemand(service, this.#place)
  }

  /** @returns the pools with how far the ramps of their place are open */
  describeRamps (pools: PoolSummary[]): PoolSummary[] {
    return pools.map((pool) => {
      const openShare = this.#place === undefined ? undefined : this.#caps.openShare(pool.service, this.#place)
      return openShare === undefined ? pool : { ...pool, openShare: Math.round(openShare * OPEN_SHARE_STEPS) / OPEN_SHARE_STEPS }
    })
  }

  /** Takes in what the owners of the own failure domain say of their ramps. */
  update (members: readonly Member[]): void {
    this.#ramps.update(members)
  }

  /** @returns what this host took of each cap of its place */
  listCapUse (): CapUse[] {
    return this.#caps.listUse()
  }

  /** Starts sharing budgets with the other hosts. */
  start (): void {
    this.#leases.start()
  }

  /** Gives leases back and stops. */
  async stop (): Promise<void> {
    await this.#leases.leave()
  }
}
