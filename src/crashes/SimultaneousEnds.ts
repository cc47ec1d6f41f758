import { isOversized, evictOldest } from './evictOldest.js'

/** Upstreams that ended at the same moment under many requests, as one host observed it. */
export interface SimultaneousEnd {
  /** Identifies the observation. */
  id: string
  /** Upstream processes that ended, as {@link getIncarnation} names them. */
  upstreams: string[]
}

interface Observation {
  upstreams: Set<string>
  revision: number
}

/**
 * Which upstreams ended together, as by the loss of a machine. Such ends have one cause, so that they count as one loss for
 * each request. Observations only grow, so that hosts that exchange them in any order know the same.
 */
export class SimultaneousEnds {
  readonly #observationsById = new Map<string, Observation>()
  readonly #idsByUpstream = new Map<string, Set<string>>()

  /**
   * @param end - an observation, or more of one that is known
   * @param nextRevision - returns the revision of a change
   */
  merge ({ id, upstreams }: SimultaneousEnd, nextRevision: () => number): void {
    const observation = this.#observationsById.get(id) ?? { upstreams: new Set<string>(), revision: 0 }
    const newUpstreams = upstreams.filter((upstream) => !observation.upstreams.has(upstream))
    if (newUpstreams.length === 0) return
    for (const upstream of newUpstreams) {
      observation.upstreams.add(upstream)
      this.#idsByUpstream.set(upstream, new Set([...this.#idsByUpstream.get(upstream) ?? [], id]))
    }
    observation.revision = nextRevision()
    this.#observationsById.delete(id)
    this.#observationsById.set(id, observation)
    if (isOversized(this.#observationsById)) this.#forget(evictOldest(this.#observationsById))
  }

  /** @returns observations that changed after a revision */
  changedSince (revision: number): SimultaneousEnd[] {
    return [...this.#observationsById].filter(([, observation]) => observation.revision > revision).map(([id, { upstreams }]) => ({ id, upstreams: [...upstreams] }))
  }

  /** @returns number of ends among some upstreams, of which those at the same moment count once */
  count (upstreams: readonly string[]): number {
    let groups: Array<Set<string>> = []
    for (const upstream of upstreams) {
      const ids = this.#idsByUpstream.get(upstream) ?? [upstream]
      const joined = groups.filter((group) => [...ids].some((id) => group.has(id)))
      groups = [...groups.filter((group) => !joined.includes(group)), new Set([...ids, ...joined.flatMap((group) => [...group])])]
    }
    return groups.length
  }

  #forget ([id, { upstreams }]: [string, Observation]): void {
    for (const upstream of upstreams) {
      const ids = this.#idsByUpstream.get(upstream)
      ids?.delete(id)
      if (ids?.size === 0) this.#idsByUpstream.delete(upstream)
    }
  }
}
