import { applyPlanDelta, type PlanDelta } from '../plan/PlanDelta.js'
import { RouteTable } from '../plan/RouteTable.js'
import type { PlanService, RoutingPlan } from '../plan/RoutingPlan.js'
import { UpstreamTable } from '../registry/UpstreamTable.js'
import type { UpstreamEntry } from '../registry/UpstreamEntry.js'
import { isGone, UpstreamReadiness } from '../registry/UpstreamRecord.js'
import type { FollowReply } from './FollowMessages.js'
import { HeldDemand } from './HeldDemand.js'
import { SmoothedDemand } from './SmoothedDemand.js'

/** Time in which all entry hosts report, and control hosts tell each other of them. */
const COUNTING_MILLISECONDS = 2_500

/** What an entry host knows. It only moves forward within the life of the process, whichever control host it hears. */
export class KnownState {
  readonly upstreams = new UpstreamTable({ lostMilliseconds: Number.POSITIVE_INFINITY })
  #plan: RoutingPlan | undefined
  #routes: RouteTable | undefined
  #services = new Map<string, PlanService>()
  #evacuated = new Set<string>()
  #evacuationRevision = -1
  /** Upstreams that a control host has not heard for long, by its feed. */
  readonly #lost = new Map<string, Set<string>>()
  /** The feed that is followed. */
  #feed = ''
  #byService: Map<string, UpstreamEntry[]> | undefined
  #entryHosts = 0
  readonly #heldDemand = new HeldDemand()
  readonly #smoothedDemand = new SmoothedDemand()
  #followedSince: number | undefined

  /**
   * Most entry hosts that were ever counted: shares of a common bound must add up also while some are not heard.
   * Infinite until the control hosts can have heard all.
   */
  get entryHosts (): number {
    if (this.#followedSince === undefined || performance.now() - this.#followedSince < COUNTING_MILLISECONDS) return Number.POSITIVE_INFINITY
    return this.#entryHosts
  }

  /** Entry hosts counted so far, also while the count is young. */
  get entryHostsHeard (): number {
    return Math.max(1, this.#entryHosts)
  }

  /** @returns requests per second for a service at all entry hosts */
  demandOf (service: string): number {
    return this.#heldDemand.of(service, performance.now())
  }

  /** @returns the part of each region in the demand for a service, smoothed over some seconds */
  demandPartsOf (service: string): ReadonlyMap<string, number> {
    return this.#smoothedDemand.of(service)
  }

  get plan (): RoutingPlan | undefined {
    return this.#plan
  }

  get routes (): RouteTable | undefined {
    return this.#routes
  }

  /** @returns what the plan says of a service */
  service (name: string): PlanService | undefined {
    return this.#services.get(name)
  }

  /** Whether a failure domain's upstreams get no new work. */
  isEvacuated (domain: string): boolean {
    return this.#evacuated.has(domain)
  }

  /** Rises with each change of the evacuations; -1 before the first news. */
  get evacuationRevision (): number {
    return this.#evacuationRevision
  }

  /** Whether the control host that is followed has not heard an upstream for long. */
  isLost (id: string): boolean {
    return this.#lost.get(this.#feed)?.has(id) === true
  }

  /** Forgets what a control host said in a life that has ended. */
  forgetFeed (feed: string): void {
    this.#lost.delete(feed)
  }

  /**
   * Takes in a reply of a control host.
   *
   * @returns whether the plan changed
   */
  merge (reply: FollowReply): boolean {
    this.#followedSince ??= performance.now()
    this.#entryHosts = Math.max(this.#entryHosts, reply.entryHosts)
    this.#heldDemand.update(reply.demand, performance.now())
    this.#smoothedDemand.update(reply.demand, performance.now())
    this.#mergeEvacuations(reply)
    this.#mergeUpstreams(reply)
    return this.#mergePlan(reply.plan ?? this.#completePlan(reply.planDelta))
  }

  /** @returns upstreams of a service that take new work */
  listReady (service: string): UpstreamEntry[] {
    this.#byService ??= this.#group()
    return this.#byService.get(service) ?? []
  }

  /** Forgets an upstream whose address answers as another one. */
  forget (id: string): void {
    this.upstreams.remove(id)
    this.#byService = undefined
  }

  #group (): Map<string, UpstreamEntry[]> {
    const groups = new Map<string, UpstreamEntry[]>()
    for (const entry of this.upstreams.list()) {
      if (entry.record.readiness !== UpstreamReadiness.Ready || isGone(entry.record)) continue
      const group = groups.get(entry.record.service)
      if (group === undefined) groups.set(entry.record.service, [entry])
      else group.push(entry)
    }
    return groups
  }

  #mergeUpstreams ({ upstreams, position }: FollowReply): void {
    this.#feed = position.feed
    const lost = this.#lost.get(position.feed) ?? new Set()
    this.#lost.set(position.feed, lost)
    for (const { record, isLost } of upstreams) {
      this.upstreams.merge(record)
      if (isLost) lost.add(record.id)
      else lost.delete(record.id)
    }
    if (upstreams.length > 0) this.#byService = undefined
  }

  #mergeEvacuations ({ evacuated, position }: FollowReply): void {
    if (evacuated === undefined || position.evacuationRevision <= this.#evacuationRevision) return
    this.#evacuated = new Set(evacuated)
    this.#evacuationRevision = position.evacuationRevision
  }

  #completePlan (delta: PlanDelta | undefined): RoutingPlan | undefined {
    return delta === undefined || delta.base !== this.#plan?.version ? undefined : applyPlanDelta(this.#plan, delta)
  }

  #mergePlan (plan: RoutingPlan | undefined): boolean {
    if (plan === undefined || plan.version <= (this.#plan?.version ?? 0)) return false
    this.#plan = plan
    this.#routes = new RouteTable(plan)
    this.#services = new Map(plan.services.map((service) => [service.name, service]))
    return true
  }
}
