interface QueuedUpdate {
  name: string
  transmissions: number
  isUrgent: boolean
  sequence: number
}

const MINIMUM_URGENT_TRANSMISSIONS = 4
const MAXIMUM_LOAD_TRANSMISSIONS = 3
const EXTRA_TRANSMISSIONS = 2

/** Names of hosts whose changed records still have to be passed on, each a bounded number of times. */
export class GossipQueue {
  readonly #updatesByName = new Map<string, QueuedUpdate>()
  #addedCount = 0

  get size (): number {
    return this.#updatesByName.size
  }

  /** Queues a changed record; transmissions of an earlier one no longer count. */
  add (name: string, isUrgent: boolean): void {
    const previous = this.#updatesByName.get(name)
    const isStillUrgent = previous !== undefined && previous.isUrgent && previous.transmissions < MINIMUM_URGENT_TRANSMISSIONS
    this.#updatesByName.set(name, { name, transmissions: 0, isUrgent: isUrgent || isStillUrgent, sequence: this.#addedCount++ })
  }

  /** @returns whether a change waits that should not wait for the next probe */
  hasUrgent (): boolean {
    for (const update of this.#updatesByName.values()) {
      if (update.isUrgent && update.transmissions < MINIMUM_URGENT_TRANSMISSIONS) return true
    }
    return false
  }

  /**
   * Takes the least often sent records that fit one message, the latest first.
   *
   * @param maximumBytes - most bytes of records; the first is taken whatever its size
   * @param hostCount - how many hosts the records spread among
   * @param sizeOf - size of a host's record, 0 when it is no longer known
   */
  takeNames (maximumBytes: number, hostCount: number, sizeOf: (name: string) => number): string[] {
    const urgentTransmissions = Math.max(MINIMUM_URGENT_TRANSMISSIONS, Math.ceil(Math.log2(hostCount + 1)) + EXTRA_TRANSMISSIONS)
    const loadTransmissions = Math.min(MAXIMUM_LOAD_TRANSMISSIONS, hostCount - 1)
    const candidates = [...this.#updatesByName.values()].sort(compareUpdates)
    const takenNames: string[] = []
    let bytes = 0
    for (const update of candidates) {
      const size = sizeOf(update.name)
      if (takenNames.length > 0 && bytes + size > maximumBytes) continue
      if (size > 0) takenNames.push(update.name)
      bytes += size
      update.transmissions++
      if (size === 0 || update.transmissions >= (update.isUrgent ? urgentTransmissions : loadTransmissions)) this.#updatesByName.delete(update.name)
    }
    return takenNames
  }
}

function compareUpdates (left: QueuedUpdate, right: QueuedUpdate): number {
  return Number(right.isUrgent) - Number(left.isUrgent) || left.transmissions - right.transmissions || right.sequence - left.sequence
}
