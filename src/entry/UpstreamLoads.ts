import type { KnownState } from '../follow/KnownState.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { WarmObjects } from '../placement/WarmObjects.js'
import { UpstreamLoad } from '../placement/UpstreamLoad.js'
import type { UpstreamPause } from '../placement/UpstreamPause.js'

/** Load of each upstream, as far as this host knows it. */
export class UpstreamLoads {
  readonly #known: KnownState
  /** Upstreams at which objects were handled recently. */
  readonly warmObjects = new WarmObjects()
  readonly #loadsByUpstream = new Map<string, UpstreamLoad>()
  /** Upstreams with a pause that is not over: a choice of upstreams looks at hundreds of them, of which few or none have one. */
  readonly #pausedUpstreams = new Set<string>()

  /** @param known - state of the upstreams as control hosts report it */
  constructor (known: KnownState) {
    this.#known = known
  }

  /** @returns the load of an upstream */
  get (id: string): UpstreamLoad {
    let load = this.#loadsByUpstream.get(id)
    if (load === undefined) {
      load = new UpstreamLoad()
      this.#loadsByUpstream.set(id, load)
    }
    return load
  }

  /**
   * Decides whether an upstream counts as lost. Control hosts that are partitioned from each other receive
   * announcements of only some upstreams, so a recent answer to this host overrides their report.
   */
  isLost (id: string): boolean {
    return this.#known.isLost(id) && !this.get(id).isAlive(performance.now())
  }

  /** Requests of this host that are in flight at all upstreams. */
  get inFlight (): number {
    let sum = 0
    for (const load of this.#loadsByUpstream.values()) sum += load.inFlight
    return sum
  }

  /** Whether an upstream has asked for a pause that is not over, or has just returned. */
  get hasPauses (): boolean {
    return this.#pausedUpstreams.size > 0
  }

  /**
   * Begins a pause that an upstream asked for; of several the longest holds.
   *
   * @returns whether it lasts longer than the present one
   */
  pause (id: string, pause: UpstreamPause): boolean {
    this.#pausedUpstreams.add(id)
    return this.get(id).pause(pause)
  }

  /** @returns identifiers of the upstreams with a pause that is not over, or that have just returned */
  listPaused (): string[] {
    return [...this.#pausedUpstreams]
  }

  /** @returns whether an upstream takes a further request of this host, as far as it asked for a pause */
  admits ({ id, bornAt }: UpstreamRecord, now: number): boolean {
    return !this.#pausedUpstreams.has(id) || this.get(id).admits(bornAt, now)
  }

  /** Forgets the pauses that are over. */
  prunePauses (now: number): void {
    for (const id of this.#pausedUpstreams) if (this.get(id).isPauseOver(now)) this.#pausedUpstreams.delete(id)
  }

  /** @returns the earliest monotonic time at which the pause of one of the upstreams ends, undefined when none is paused */
  findFirstReturn (records: readonly UpstreamRecord[], now: number): number | undefined {
    if (!this.hasPauses) return undefined
    const returnTimes = records.map(({ id, bornAt }) => this.get(id).getReturnTime(bornAt, now)).filter((time) => time !== undefined)
    return returnTimes.length === 0 ? undefined : Math.min(...returnTimes)
  }

  /** Removes upstreams without requests that are no longer in use. */
  removeUnused (isInUse: (id: string) => boolean): void {
    for (const [id, { inFlight }] of this.#loadsByUpstream) {
      if (inFlight === 0 && !isInUse(id)) this.#loadsByUpstream.delete(id)
    }
  }
}
