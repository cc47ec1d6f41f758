import type { HeldAmount } from './HeldAmount.js'

/** What may happen to a connection when connections hold too much. Those of a lower value are closed first. */
export enum ConnectionState {
  /** A request is arriving on it: none of it has run. */
  Arriving,
  /** No request is on it. */
  Idle,
  /** Its caller does not read a response that waits to be written. */
  Unread,
  /** A request is being handled; the connection is not closed. */
  Busy
}

const CLOSING_ORDER = [ConnectionState.Arriving, ConnectionState.Idle, ConnectionState.Unread]

/** What one connection holds. */
export interface ConnectionShare {
  /**
   * Records what the connection holds from now on, which can close it.
   *
   * @param bytes - data that was read and is held, and data that waits to be written
   * @param state - whether and how soon the connection may be closed
   */
  record: (bytes: number, state: ConnectionState) => void
  /** Releases all that it holds. */
  release: () => void
}

interface Holder {
  bytes: number
  state: ConnectionState
  close: () => void
}

/**
 * Bounds what the connections of all listeners of a process hold beside the bodies of messages. Beyond the bound connections are closed on
 * which no request is being handled, those first that have been in their state for the longest time: callers that send only
 * parts of requests keep their connections, and ordinary callers come and go.
 */
export class ConnectionMemory {
  readonly #maximumBytes: number
  readonly #all: HeldAmount
  readonly #holders = new Map(CLOSING_ORDER.map((state) => [state, new Set<Holder>()]))
  #heldBytes = 0
  #closed = 0

  /**
   * @param maximumBytes - what all connections may hold together
   * @param all - what all messages and connections of the process hold
   */
  constructor (maximumBytes: number, all: HeldAmount) {
    this.#maximumBytes = maximumBytes
    this.#all = all
  }

  /** What all connections hold now, in bytes. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Number of connections that were closed because all together held too much. */
  get closed (): number {
    return this.#closed
  }

  /**
   * @param close - closes the connection at once
   * @returns the share of a new connection
   */
  open (close: () => void): ConnectionShare {
    const holder: Holder = { bytes: 0, state: ConnectionState.Busy, close }
    let isReleased = false
    return {
      record: (bytes, state) => {
        if (isReleased) return
        this.#update(holder, bytes, state)
        this.#closeExcess()
      },
      release: () => {
        isReleased = true
        this.#update(holder, 0, ConnectionState.Busy)
      }
    }
  }

  #update (holder: Holder, bytes: number, state: ConnectionState): void {
    const growth = bytes - holder.bytes
    holder.bytes = bytes
    this.#heldBytes += growth
    this.#all.change(growth)
    if (state === holder.state) return
    this.#holders.get(holder.state)?.delete(holder)
    this.#holders.get(state)?.add(holder)
    holder.state = state
  }

  #closeExcess (): void {
    while (this.#heldBytes > this.#maximumBytes) {
      const holder = this.#findNext()
      if (holder === undefined) return
      this.#update(holder, 0, ConnectionState.Busy)
      this.#closed += 1
      holder.close()
    }
  }

  #findNext (): Holder | undefined {
    const holders = [...this.#holders.values()].find(({ size }) => size > 0)
    return holders?.values().next().value
  }
}
