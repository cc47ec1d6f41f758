import type { KnownState } from '../follow/KnownState.js'
import { WarmObjects } from '../placement/WarmObjects.js'
import { UpstreamLoad } from '../placement/UpstreamLoad.js'

/** Load of each upstream, as far as this host knows it. */
export class UpstreamLoads {
  readonly #known: KnownState
  /** Upstreams at which objects were handled recently. */
  readonly warmObjects = new WarmObjects()
  readonly #loadsByUpstream = new Map<string, UpstreamLoad>()

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

  /** Removes upstreams without requests that are no longer in use. */
  removeUnused (isInUse: (id: string) => boolean): void {
    for (const [id, { inFlight }] of this.#loadsByUpstream) {
      if (inFlight === 0 && !isInUse(id)) this.#loadsByUpstream.delete(id)
    }
  }
}
