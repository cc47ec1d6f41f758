interface QueuedUpdate {
  name: string
  transmissions: number
  isUrgent: boolean
  sequence: number
}

const MINIMUM_URGENT_TRANSMISSIONS = 4
const MAXIMUM_LOAD_TRANSMISSIONS = 3
const EXTRA_TRANSMISSIONS = 2

/** Queue of the hosts whose changed records must be passed on, each a bounded number of times. */
export class GossipQueue {
  readonly #updatesByName = new Map<string, QueuedUpdate>()
  #addedCount = 0

  get size (): number {
    return this.#updatesByName.size
  }

  /** Queues a changed record and restarts the count of its transmissions. */
  add (name: string, isUrgent: boolean): void {
    const previous = this.#updatesByName.get(name)
    const isStillUrgent = previous !== undefined && previous.isUrgent && previous.transmissions < MINIMUM_URGENT_TRANSMISSIONS
    this.#updatesByName.set(name, { name, transmissions: 0, isUrgent: isUrgent || isStillUrgent, sequence: this.#addedCount++ })
  }

  /** @returns whether an urgent change has been transmitted too few times to wait for the next probe */
  hasUrgent (): boolean {
    for (const update of this.#updatesByName.values()) {
      if (update.isUrgent && update.transmissions < MINIMUM_URGENT_TRANSMISSIONS) return true
    }
    return false
  }

  /**
   * Takes records that fit into one message: urgent ones first, then those with the fewest transmissions, then the latest.
   *
   * @param maximumBytes - maximum total size of the records; the first record is taken regardless of its size
   * @param hostCount - number of hosts among which the records spread
   * @param sizeOf - returns the size of a host's record in bytes; 0 when the host is no longer known
   * @returns names of the hosts whose records to send
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
