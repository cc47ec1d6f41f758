import { UpstreamLoad } from '../placement/UpstreamLoad.js'

/** What this host knows of the load of each upstream. */
export class UpstreamLoads {
  readonly #loads = new Map<string, UpstreamLoad>()

  /** @returns the load of an upstream */
  of (id: string): UpstreamLoad {
    let load = this.#loads.get(id)
    if (load === undefined) {
      load = new UpstreamLoad()
      this.#loads.set(id, load)
    }
    return load
  }

  /** Forgets upstreams without requests that are not in use any more. */
  keepOnly (isInUse: (id: string) => boolean): void {
    for (const [id, { inFlight }] of this.#loads) {
      if (inFlight === 0 && !isInUse(id)) this.#loads.delete(id)
    }
  }
}
