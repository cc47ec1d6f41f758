import { applyPlanDelta, type PlanDelta } from '../plan/PlanDelta.js'
import { AccountTable } from '../plan/AccountTable.js'
import { RouteTable } from '../plan/RouteTable.js'
import type { PlanService, RoutingPlan } from '../plan/RoutingPlan.js'
import { UpstreamTable } from '../registry/UpstreamTable.js'
import type { UpstreamEntry } from '../registry/UpstreamEntry.js'
import { getIncarnation, isGone, UpstreamReadiness, type UpstreamRecord } from '../registry/UpstreamRecord.js'
import type { FollowReply } from './FollowMessages.js'
import { PlanLease } from './PlanLease.js'
import { PeakDemand } from './PeakDemand.js'
import { SmoothedDemand } from './SmoothedDemand.js'

/** Time within which all entry hosts report and the control hosts exchange these reports. */
const ENTRY_HOST_COUNTING_MILLISECONDS = 2_500

/** State that an entry host has received from control hosts. It never goes back within a process run, whichever control host is followed. */
export class KnownState {
  /** Whether the plan is certainly the newest one. */
  readonly planLease = new PlanLease()
  readonly upstreams = new UpstreamTable({ lostMilliseconds: Number.POSITIVE_INFINITY })
  #plan: RoutingPlan | undefined
  #routes: RouteTable | undefined
  #accounts: AccountTable | undefined
  #servicesByName = new Map<string, PlanService>()
  #evacuated = new Set<string>()
  #evacuationRevision = -1
  /** Identifiers of the upstreams that a control host counts as lost, by its feed. */
  readonly #lostIdsByFeed = new Map<string, Set<string>>()
  /** Feed of the control host that replied last. */
  #followedFeed = ''
  #readyByService: Map<string, UpstreamEntry[]> | undefined
  /** Starts of upstreams that said in an answer that they leave. */
  readonly #leavingIncarnations = new Set<string>()
  #maximumEntryHosts = 0
  readonly #peakDemand = new PeakDemand()
  readonly #smoothedDemand = new SmoothedDemand()
  #firstReplyAt: number | undefined

  /**
   * Highest count of entry hosts so far: shares of a common limit must add up even while some hosts do not report.
   * Infinite until the control hosts have had time to count all of them.
   */
  get entryHosts (): number {
    if (this.#firstReplyAt === undefined || performance.now() - this.#firstReplyAt < ENTRY_HOST_COUNTING_MILLISECONDS) return Number.POSITIVE_INFINITY
    return this.#maximumEntryHosts
  }

  /** Number of entry hosts counted so far, at least 1, even while the control hosts may not have counted all. */
  get countedEntryHosts (): number {
    return Math.max(1, this.#maximumEntryHosts)
  }

  /** @returns recent peak of the demand for a service at all entry hosts, in requests per second */
  demandOf (service: string): number {
    return this.#peakDemand.get(service, performance.now())
  }

  /** @returns the fraction of each region in the demand for a service, smoothed over some seconds */
  demandFractionsOf (service: string): ReadonlyMap<string, number> {
    return this.#smoothedDemand.getFractions(service)
  }

  get plan (): RoutingPlan | undefined {
    return this.#plan
  }

  get routes (): RouteTable | undefined {
    return this.#routes
  }

  /** Client accounts of the plan; undefined when it has none, so that requests need no key. */
  get accounts (): AccountTable | undefined {
    return this.#accounts
  }

  /** @returns the entry of a service in the plan, undefined when the plan has none */
  service (name: string): PlanService | undefined {
    return this.#servicesByName.get(name)
  }

  /** Whether a failure domain's upstreams get no new work. */
  isEvacuated (domain: string): boolean {
    return this.#evacuated.has(domain)
  }

  /** Rises with each change of the evacuations; -1 before the first reply. */
  get evacuationRevision (): number {
    return this.#evacuationRevision
  }

  /** Whether the followed control host counts an upstream as lost. */
  isLost (id: string): boolean {
    return this.#lostIdsByFeed.get(this.#followedFeed)?.has(id) === true
  }

  /** Discards the lost upstreams that a control host reported in an earlier process run. */
  discardFeed (feed: string): void {
    this.#lostIdsByFeed.delete(feed)
  }

  /**
   * Merges a reply of a control host.
   *
   * @param reply - full state or changes
   * @returns whether the plan changed
   */
  merge (reply: FollowReply): boolean {
    this.#firstReplyAt ??= performance.now()
    this.#maximumEntryHosts = Math.max(this.#maximumEntryHosts, reply.entryHosts)
    this.#peakDemand.update(reply.demand, performance.now())
    this.#smoothedDemand.update(reply.demand, performance.now())
    this.#mergeEvacuations(reply)
    this.#mergeUpstreams(reply)
    return this.#mergePlan(reply.plan ?? this.#applyPlanDelta(reply.planDelta))
  }

  /** @returns upstreams of a service that accept new work */
  listReady (service: string): UpstreamEntry[] {
    this.#readyByService ??= this.#groupReadyByService()
    return this.#readyByService.get(service) ?? []
  }

  /** Marks an upstream as gone, as when its address answers as another one. */
  markGone (id: string): void {
    this.upstreams.markGone(id)
    this.#readyByService = undefined
  }

  /**
   * Marks a start of an upstream as leaving, by its own word. No announcement of that start takes the mark back.
   *
   * @returns whether it was not marked before
   */
  markLeaving (record: UpstreamRecord): boolean {
    const incarnation = getIncarnation(record)
    if (this.#leavingIncarnations.has(incarnation)) return false
    this.#leavingIncarnations.add(incarnation)
    this.#readyByService = undefined
    return true
  }

  /** @returns whether a start of an upstream said that it leaves */
  isLeaving (record: UpstreamRecord): boolean {
    return this.#leavingIncarnations.size > 0 && this.#leavingIncarnations.has(getIncarnation(record))
  }

  /** Forgets the marks of upstreams that are gone or were started again since. */
  pruneLeaving (): void {
    const current = new Set(this.upstreams.list().filter(({ record }) => !isGone(record)).map(({ record }) => getIncarnation(record)))
    for (const incarnation of this.#leavingIncarnations) if (!current.has(incarnation)) this.#leavingIncarnations.delete(incarnation)
  }

  #groupReadyByService (): Map<string, UpstreamEntry[]> {
    const groups = new Map<string, UpstreamEntry[]>()
    for (const entry of this.upstreams.list()) {
      if (entry.record.readiness !== UpstreamReadiness.Ready || this.isLeaving(entry.record)) continue
      const group = groups.get(entry.record.service)
      if (group === undefined) groups.set(entry.record.service, [entry])
      else group.push(entry)
    }
    return groups
  }

  #mergeUpstreams ({ upstreams, position }: FollowReply): void {
    this.#followedFeed = position.feed
    const lost = this.#lostIdsByFeed.get(position.feed) ?? new Set()
    this.#lostIdsByFeed.set(position.feed, lost)
    for (const { record, isLost } of upstreams) {
      this.upstreams.merge(record)
      if (isLost) lost.add(record.id)
      else lost.delete(record.id)
    }
    if (upstreams.length > 0) this.#readyByService = undefined
  }

  #mergeEvacuations ({ evacuated, position }: FollowReply): void {
    if (evacuated === undefined || position.evacuationRevision <= this.#evacuationRevision) return
    this.#evacuated = new Set(evacuated)
    this.#evacuationRevision = position.evacuationRevision
  }

  #applyPlanDelta (delta: PlanDelta | undefined): RoutingPlan | undefined {
    return delta === undefined || delta.base !== this.#plan?.version ? undefined : applyPlanDelta(this.#plan, delta)
  }

  #mergePlan (plan: RoutingPlan | undefined): boolean {
    if (plan === undefined || plan.version <= (this.#plan?.version ?? 0)) return false
    this.#plan = plan
    this.#routes = new RouteTable(plan)
    this.#accounts = plan.accounts === undefined ? undefined : new AccountTable(plan.accounts)
    this.#servicesByName = new Map(plan.services.map((service) => [service.name, service]))
    return true
  }
}
