import type { KnownState } from '../follow/KnownState.js'
import { WarmObjects } from '../placement/WarmObjects.js'
import { UpstreamLoad } from '../placement/UpstreamLoad.js'

/** What this host knows of the load of each upstream. */
export class UpstreamLoads {
  readonly #known: KnownState
  /** Where objects were handled lately. */
  readonly warmObjects = new WarmObjects()
  readonly #loadsByUpstream = new Map<string, UpstreamLoad>()

  /** @param known - what control hosts tell of upstreams */
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
   * Tells whether an upstream counts as lost. Control hosts that are cut off from each other hear only a part of the
   * upstreams, so an answer to this host goes before their silence.
   */
  isLost (id: string): boolean {
    return this.#known.isLost(id) && !this.get(id).isAlive(performance.now())
  }

  /** Forgets upstreams without requests that are not in use any more. */
  removeUnused (isInUse: (id: string) => boolean): void {
    for (const [id, { inFlight }] of this.#loadsByUpstream) {
      if (inFlight === 0 && !isInUse(id)) this.#loadsByUpstream.delete(id)
    }
  }
}
