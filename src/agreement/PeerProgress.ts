import type { ReplicaMember } from './ReplicaMember.js'
import type { ReplicaTimings } from './ReplicaTimings.js'
import { Signal } from './tasks/Signal.js'

/** Slowest link that a first attempt allows for. */
const EXPECTED_BYTES_PER_MILLISECOND = 1_000

/** What a leader knows of one other member, and the signals of its two tasks. */
export class PeerProgress {
  readonly member: ReplicaMember
  /** Next entry to send. */
  nextIndex: number
  /** Last entry known to be durable at the member. */
  matchIndex = 0
  /** When the last call that the member answered was sent. */
  acknowledgedAt = Number.NEGATIVE_INFINITY
  isActive = true
  /** Calls with entries or parts of a snapshot that failed in a row while heartbeats were answered. */
  consecutiveSlowCalls = 0
  /** Wakes the task that sends entries. */
  readonly entriesSignal = new Signal()
  /** Wakes the task that sends heartbeats. */
  readonly heartbeatSignal = new Signal()

  /**
   * @param member - the member
   * @param nextIndex - next entry to send
   */
  constructor (member: ReplicaMember, nextIndex: number) {
    this.member = member
    this.nextIndex = nextIndex
  }

  /** Records that a call sent at a time was answered. */
  recordAcknowledgement (sentAt: number): void {
    this.acknowledgedAt = Math.max(this.acknowledgedAt, sentAt)
  }

  /**
   * @param bytes - length of what is sent
   * @param timings - the replica's timings
   * @returns how long to wait for the answer, longer after each failure on a slow link
   */
  computeTimeout (bytes: number, timings: ReplicaTimings): number {
    const expectedMilliseconds = timings.callMilliseconds + bytes / EXPECTED_BYTES_PER_MILLISECOND
    return Math.min(timings.transferMilliseconds, expectedMilliseconds * 2 ** this.consecutiveSlowCalls)
  }

  /**
   * Records that a call failed. A member that answered no heartbeat meanwhile is cut off, not slow:
   * it must be reached soon after the cut.
   *
   * @param startedAt - when the call was sent
   */
  recordFailure (startedAt: number): void {
    this.consecutiveSlowCalls = this.acknowledgedAt >= startedAt ? this.consecutiveSlowCalls + 1 : 0
  }

  /** Ends both tasks. */
  stop (): void {
    this.isActive = false
    this.entriesSignal.notify()
    this.heartbeatSignal.notify()
  }
}
