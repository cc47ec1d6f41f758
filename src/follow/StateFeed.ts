import type { CrashTable } from '../crashes/CrashTable.js'
import type { PlanSource } from '../plan/PlanSource.js'
import type { RoutingPlan } from '../plan/RoutingPlan.js'
import type { ControlHost } from '../registry/ControlHost.js'
import type { EntryHostTable } from '../registry/EntryHostTable.js'
import type { UpstreamEntry } from '../registry/UpstreamEntry.js'
import type { UpstreamTable } from '../registry/UpstreamTable.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import { errorTexts } from '../errors/errorTexts.js'
import { HibiscusrelayError } from '../errors/HibiscusrelayError.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import type { CurrencyReply, FeedPosition, FollowedUpstream, FollowReply, FollowRequest } from './FollowMessages.js'
import { SuspensionDetector } from '../utils/SuspensionDetector.js'
import { PlanHistory } from './PlanHistory.js'

/** Changes within this time are sent together: upstreams of a service often change in groups. */
const BATCH_DELAY_MILLISECONDS = 20
/** Age up to which a report counts as recent; entry hosts report about twice a second. */
const RECENT_REPORT_MILLISECONDS = 1_500

/** Time after a suspension in which the contact with the leader may date from before it: as long as a replica waits for its leader. */
const MAXIMUM_CONTACT_AGE_MILLISECONDS = 700

/** Dependencies of {@link StateFeed}. */
export interface StateFeedOptions {
  /** Identifies this process run of the control host. */
  feed: string
  plans: PlanSource
  upstreams: UpstreamTable
  entryHosts: EntryHostTable
  crashes: CrashTable
  isCurrent: () => boolean
  listControlHosts: () => ControlHost[]
  registerHandler: RegisterPeerHandler
}

/** Answers follow requests of entry hosts with the changes since their position. */
export class StateFeed {
  readonly #options: StateFeedOptions
  readonly #waiters = new Set<() => void>()
  readonly #reportedAtByName = new Map<string, number>()
  readonly #planHistory = new PlanHistory()
  readonly #suspensions = new SuspensionDetector()
  #batchTimer: NodeJS.Timeout | undefined
  #isOpen = false

  /** @param options - the state to publish, and the transport */
  constructor (options: StateFeedOptions) {
    this.#options = options
    options.registerHandler(PeerMethod.Follow, (request: FollowRequest) => this.#handleFollow(request))
    options.registerHandler(PeerMethod.AskCurrency, () => this.#describeCurrency())
  }

  /** Begins to answer. Until then requests are refused, since a control host that has just started knows less than the entry hosts. */
  open (): void {
    this.#isOpen = true
  }

  /** Records the plan in force, and answers the waiting entry hosts after a short delay that batches changes. */
  notifyChange (): void {
    this.#planHistory.record(this.#options.plans.plan)
    this.#batchTimer ??= setTimeout(() => {
      this.#batchTimer = undefined
      for (const wake of [...this.#waiters]) wake()
    }, BATCH_DELAY_MILLISECONDS)
  }

  /** @returns whether an entry host recently reported to this control host directly */
  hasRecentReport (name: string): boolean {
    const reportedAt = this.#reportedAtByName.get(name)
    return reportedAt !== undefined && performance.now() - reportedAt < RECENT_REPORT_MILLISECONDS
  }

  #describeCurrency (): CurrencyReply {
    const { plans } = this.#options
    if (!this.#isOpen) return { isCurrent: false, planVersion: 0 }
    return { isCurrent: this.#isCurrent(), planVersion: plans.plan?.version ?? 0 }
  }

  #isCurrent (): boolean {
    return this.#suspensions.millisecondsSinceResume > MAXIMUM_CONTACT_AGE_MILLISECONDS && this.#options.isCurrent()
  }

  async #handleFollow (request: FollowRequest): Promise<FollowReply> {
    const { entryHosts } = this.#options
    if (!this.#isOpen) throw new HibiscusrelayError(errorTexts.feedNotReady(), { step: Step.Follow, peer: request.entryHost.name })
    entryHosts.recordReport(request.entryHost)
    this.#reportedAtByName.set(request.entryHost.name, performance.now())
    if (!this.#hasChanges(request.position)) await this.#waitForChange(request.waitMilliseconds)
    return this.#describeChanges(request.position)
  }

  #hasChanges (position: FeedPosition): boolean {
    const { feed, plans, upstreams, crashes } = this.#options
    if (position.feed !== feed) return true
    if (position.planVersion < (plans.plan?.version ?? 0)) return true
    if (position.evacuationRevision < plans.evacuationRevision) return true
    return position.revision < upstreams.revision || position.crashRevision < crashes.revision
  }

  async #waitForChange (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      this.#waiters.add(finish)
    })
  }

  #describeChanges (position: FeedPosition): FollowReply {
    const { feed, plans, upstreams, crashes } = this.#options
    const isComplete = position.feed !== feed
    const { plan, evacuationRevision } = plans
    return {
      position: { feed, revision: upstreams.revision, crashRevision: crashes.revision, planVersion: plan?.version ?? 0, evacuationRevision },
      ...this.#describePlan(plan, position.planVersion),
      evacuated: evacuationRevision > position.evacuationRevision ? plans.evacuated : undefined,
      upstreams: upstreams.changedSince(isComplete ? 0 : position.revision).map(describeUpstream),
      isComplete,
      isCurrent: this.#isCurrent(),
      entryHosts: this.#options.entryHosts.count,
      demand: this.#options.entryHosts.sumDemand(),
      controlHosts: this.#options.listControlHosts(),
      crashes: crashes.changedSince(isComplete ? 0 : position.crashRevision),
      losses: []
    }
  }

  #describePlan (plan: RoutingPlan | undefined, knownVersion: number): Pick<FollowReply, 'plan' | 'planDelta'> {
    if (plan === undefined || plan.version <= knownVersion) return {}
    this.#planHistory.record(plan)
    const planDelta = this.#planHistory.findDelta(knownVersion)
    return planDelta === undefined ? { plan } : { planDelta }
  }
}

function describeUpstream ({ record, coldUntil, isLost }: UpstreamEntry): FollowedUpstream {
  return { record: { ...record, coldMilliseconds: Math.max(0, Math.round(coldUntil - performance.now())) }, isLost }
}
