import type { KnownState } from '../follow/KnownState.js'
import { WarmCopies } from '../placement/WarmCopies.js'
import { UpstreamLoad } from '../placement/UpstreamLoad.js'

/** What this host knows of the load of each upstream. */
export class UpstreamLoads {
  readonly #known: KnownState
  /** Where objects were handled lately. */
  readonly warmCopies = new WarmCopies()
  readonly #loads = new Map<string, UpstreamLoad>()

  /** @param known - what control hosts tell of upstreams */
  constructor (known: KnownState) {
    this.#known = known
  }

  /** @returns the load of an upstream */
  of (id: string): UpstreamLoad {
    let load = this.#loads.get(id)
    if (load === undefined) {
      load = new UpstreamLoad()
      this.#loads.set(id, load)
    }
    return load
  }

  /**
   * Tells whether an upstream counts as lost. Control hosts that are cut off from each other hear only a part of the
   * upstreams, so an answer to this host goes before their silence.
   */
  isLost (id: string): boolean {
    return this.#known.isLost(id) && !this.of(id).isAlive(performance.now())
  }

  /** Forgets upstreams without requests that are not in use any more. */
  keepOnly (isInUse: (id: string) => boolean): void {
    for (const [id, { inFlight }] of this.#loads) {
      if (inFlight === 0 && !isInUse(id)) this.#loads.delete(id)
    }
  }
}
