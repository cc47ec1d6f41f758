import type { KnownState } from '../follow/KnownState.js'
import type { StopWindow } from '../limits/StopWindow.js'
import { choosePlacement } from '../placement/choosePlacement.js'
import { ColdShare } from '../placement/ColdShare.js'
import type { SecondCandidate } from '../placement/decideSecondAttempt.js'
import { combineHomeRegions } from '../plan/combineHomeRegions.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { RefusalReason } from '../types/RefusalReason.js'
import type { EntryRequest } from './EntryRequest.js'
import { listCandidates, type PlacementCandidate } from './listCandidates.js'
import type { RequestProgress } from './RequestProgress.js'
import type { UpstreamLoads } from './UpstreamLoads.js'
import type { UpstreamRuns } from './UpstreamRuns.js'

/** Dependencies of {@link UpstreamChoice}. */
export interface UpstreamChoiceOptions {
  hostName: string
  domain: string
  region: string
  known: KnownState
  loads: UpstreamLoads
  runs: Pick<UpstreamRuns, 'isProven'>
  stopWindow: Pick<StopWindow, 'admits'>
  regionOf: (domain: string) => string | undefined
}

/** Chooses the upstreams of requests by what this host knows of them. */
export class UpstreamChoice {
  readonly #options: UpstreamChoiceOptions
  readonly #coldShare = new ColdShare()

  /** @param options - known state, loads and runs of this host */
  constructor (options: UpstreamChoiceOptions) {
    this.#options = options
  }

  /** @returns the upstream for the next attempt, or why there is none */
  choose (request: EntryRequest, progress: RequestProgress): PlacementCandidate | RefusalReason {
    if (!this.#options.stopWindow.admits(request.deadline)) return RefusalReason.Stopping
    const candidates = this.#list(request, progress, (record) => this.#canUseCold(record))
    const chosen = choosePlacement(candidates)
    progress.recordPlacement(candidates, chosen)
    if (chosen?.isCold === true) this.#coldShare.take(chosen.record.id, performance.now())
    return chosen ?? (candidates.length === 0 ? this.#explainAbsence(progress) : RefusalReason.UpstreamsFull)
  }

  /** @returns the upstreams that may get a second attempt beside one in flight; unlike for a first one, none that is cold, lost or has failed lately */
  listForSecond (request: EntryRequest, progress: RequestProgress): Array<PlacementCandidate & SecondCandidate> {
    const { loads } = this.#options
    const now = performance.now()
    return this.#list(request, progress, () => false)
      .filter(({ record }) => loads.get(record.id).isTrusted(now) && !loads.isLost(record.id))
      .map((candidate) => ({ ...candidate, workPercent: loads.get(candidate.record.id).getWorkPercent(now) }))
  }

  /**
   * @returns the key that determines the order of upstreams for a request. Copies of a request that has not run completely
   * yet have the same order at all hosts, so that one that ends upstreams does not end several at once.
   */
  getPlacementKey (request: EntryRequest, { fingerprint }: RequestProgress): string {
    if (isObjectBound(request)) return `${request.route.name}|${request.objectKey}`
    return this.#options.runs.isProven(fingerprint) ? request.id : fingerprint
  }

  #list (request: EntryRequest, progress: RequestProgress, canUseCold: (record: UpstreamRecord) => boolean): PlacementCandidate[] {
    const { known, loads, domain, region, regionOf } = this.#options
    return listCandidates(known, loads, {
      service: progress.service,
      placementKey: this.getPlacementKey(request, progress),
      homeRegions: combineHomeRegions(request.route, request.access?.account),
      region,
      preferredDomain: request.route.hasLargeAnswers === true ? domain : undefined,
      excludedUpstreams: progress.excludedUpstreams,
      regionOf,
      canUseCold
    })
  }

  /** @returns why no upstream may get the request */
  #explainAbsence (progress: RequestProgress): RefusalReason {
    const { known, loads } = this.#options
    const now = performance.now()
    const firstReturnAt = loads.findFirstReturn(known.listReady(progress.service).map(({ record }) => record), now)
    if (firstReturnAt === undefined) return RefusalReason.NoUpstream
    progress.returnMilliseconds = firstReturnAt - now
    return RefusalReason.UpstreamsPaused
  }

  #canUseCold (record: UpstreamRecord): boolean {
    const { known, hostName } = this.#options
    const requestsPerSecond = known.service(record.service)?.coldRequestsPerSecond ?? 0
    if (requestsPerSecond <= 0) return false
    const query = { upstream: record.id, host: hostName, entryHosts: known.entryHosts, requestsPerSecond }
    return this.#coldShare.mayTake(query, performance.now())
  }
}

/** @returns whether an upstream answers the request faster when it has handled its object recently */
export function isObjectBound ({ route, objectKey }: Pick<EntryRequest, 'route' | 'objectKey'>): boolean {
  return route.sticky && objectKey !== undefined
}
