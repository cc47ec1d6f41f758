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
import type { LossBoard } from './LossBoard.js'
import { PlanHistory } from './PlanHistory.js'

/** Changes within this time go out together: upstreams of a service often change in groups. */
const GATHER_MILLISECONDS = 20
/** Entry hosts report about twice a second. */
const REPORT_MILLISECONDS = 1_500

/** What a state feed works with. */
export interface StateFeedOptions {
  /** Identifies this life of the control host. */
  feed: string
  plans: PlanSource
  upstreams: UpstreamTable
  entryHosts: EntryHostTable
  losses: LossBoard
  isCurrent: () => boolean
  listControlHosts: () => ControlHost[]
  registerHandler: RegisterPeerHandler
}

/** Gives entry hosts what they must know, as changes since what they have. */
export class StateFeed {
  readonly #options: StateFeedOptions
  readonly #waiting = new Set<() => void>()
  readonly #reporters = new Map<string, number>()
  readonly #history = new PlanHistory()
  #gathering: NodeJS.Timeout | undefined
  #isOpen = false

  /** @param options - what is fed */
  constructor (options: StateFeedOptions) {
    this.#options = options
    options.registerHandler(PeerMethod.Follow, (request: FollowRequest) => this.#answer(request))
    options.registerHandler(PeerMethod.AskCurrency, () => this.#describeCurrency())
  }

  /** Begins to answer: a control host that has just started would tell entry hosts less than they know. */
  open (): void {
    this.#isOpen = true
  }

  /** Wakes the entry hosts that wait for a change. */
  announce (): void {
    this.#history.note(this.#options.plans.plan)
    this.#gathering ??= setTimeout(() => {
      this.#gathering = undefined
      for (const wake of [...this.#waiting]) wake()
    }, GATHER_MILLISECONDS)
  }

  /** @returns whether an entry host reported to this control host itself lately */
  isReporter (name: string): boolean {
    const reportedAt = this.#reporters.get(name)
    return reportedAt !== undefined && performance.now() - reportedAt < REPORT_MILLISECONDS
  }

  #describeCurrency (): CurrencyReply {
    const { plans, isCurrent } = this.#options
    return { isCurrent: this.#isOpen && isCurrent(), planVersion: plans.plan?.version ?? 0 }
  }

  async #answer (request: FollowRequest): Promise<FollowReply> {
    const { entryHosts, losses } = this.#options
    if (!this.#isOpen) throw new HibiscusrelayError(errorTexts.feedNotOpen(), { step: Step.Follow, peer: request.entryHost.name })
    entryHosts.hear(request.entryHost)
    this.#reporters.set(request.entryHost.name, performance.now())
    if (losses.add(request.losses)) this.announce()
    if (!this.#hasNews(request.position)) await this.#waitForChange(request.waitMilliseconds)
    return this.#describe(request.position)
  }

  #hasNews (position: FeedPosition): boolean {
    const { feed, plans, upstreams, losses } = this.#options
    if (position.feed !== feed) return true
    if (position.planVersion < (plans.plan?.version ?? 0)) return true
    if (position.evacuationRevision < plans.evacuationRevision) return true
    return position.revision < upstreams.revision || position.lossRevision < losses.revision
  }

  async #waitForChange (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      this.#waiting.add(finish)
    })
  }

  #describe (position: FeedPosition): FollowReply {
    const { feed, plans, upstreams, losses } = this.#options
    const isComplete = position.feed !== feed
    const { plan, evacuationRevision } = plans
    return {
      position: { feed, revision: upstreams.revision, lossRevision: losses.revision, planVersion: plan?.version ?? 0, evacuationRevision },
      ...this.#describePlan(plan, position.planVersion),
      evacuated: evacuationRevision > position.evacuationRevision ? plans.evacuated : undefined,
      upstreams: upstreams.changedSince(isComplete ? 0 : position.revision).map(describeUpstream),
      isComplete,
      isCurrent: this.#options.isCurrent(),
      entryHosts: this.#options.entryHosts.count,
      demand: this.#options.entryHosts.sumDemand(),
      controlHosts: this.#options.listControlHosts(),
      losses: losses.changedSince(isComplete ? 0 : position.lossRevision)
    }
  }

  #describePlan (plan: RoutingPlan | undefined, known: number): Pick<FollowReply, 'plan' | 'planDelta'> {
    if (plan === undefined || plan.version <= known) return {}
    this.#history.note(plan)
    const planDelta = this.#history.deltaFrom(known)
    return planDelta === undefined ? { plan } : { planDelta }
  }
}

function describeUpstream ({ record, coldUntil, isLost }: UpstreamEntry): FollowedUpstream {
  return { record: { ...record, coldMilliseconds: Math.max(0, Math.round(coldUntil - performance.now())) }, isLost }
}
