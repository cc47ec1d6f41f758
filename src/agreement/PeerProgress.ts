import type { ReplicaMember } from './ReplicaMember.js'
import type { ReplicaTimings } from './ReplicaTimings.js'
import { Signal } from './tasks/Signal.js'

/** Minimum link speed that the timeout of a first attempt allows for. */
const EXPECTED_BYTES_PER_MILLISECOND = 1_000

/** A leader's replication progress at one other member, and the signals of its two replication tasks. */
export class PeerProgress {
  readonly member: ReplicaMember
  /** Index of the next entry to send. */
  nextIndex: number
  /** Index of the last entry known to be durable at the member. */
  matchIndex = 0
  /** Monotonic time at which the latest answered call was sent, in milliseconds. */
  acknowledgedAt = Number.NEGATIVE_INFINITY
  /** Monotonic time since which the leader has been in contact with the member or tried to be, in milliseconds. */
  readonly startedAt = performance.now()
  isActive = true
  /** Number of calls with entries or snapshot chunks that failed in a row while heartbeats were answered. */
  consecutiveSlowCalls = 0
  /** Wakes the task that sends entries. */
  readonly entriesSignal = new Signal()
  /** Wakes the task that sends heartbeats. */
  readonly heartbeatSignal = new Signal()

  /**
   * @param member - member that receives the log
   * @param nextIndex - index of the next entry to send
   */
  constructor (member: ReplicaMember, nextIndex: number) {
    this.member = member
    this.nextIndex = nextIndex
  }

  /** Monotonic time since which the member has been silent, in milliseconds. */
  get silentSince (): number {
    return Math.max(this.startedAt, this.acknowledgedAt)
  }

  /** Records that a call sent at that monotonic time was answered. */
  recordAcknowledgement (sentAt: number): void {
    this.acknowledgedAt = Math.max(this.acknowledgedAt, sentAt)
  }

  /**
   * @param bytes - length of the entries or the chunk sent
   * @param timings - timings of the replica
   * @returns timeout of the call in milliseconds, doubled after each failure on a slow link
   */
  computeTimeout (bytes: number, timings: ReplicaTimings): number {
    const expectedMilliseconds = timings.callMilliseconds + bytes / EXPECTED_BYTES_PER_MILLISECOND
    return Math.min(timings.transferMilliseconds, expectedMilliseconds * 2 ** this.consecutiveSlowCalls)
  }

  /**
   * Records that a call failed. A member that answered no heartbeat meanwhile is disconnected, not slow:
   * its timeout is reset, so that it is reached soon after it is connected again.
   *
   * @param startedAt - monotonic time at which the call was sent
   */
  recordFailure (startedAt: number): void {
    this.consecutiveSlowCalls = this.acknowledgedAt >= startedAt ? this.consecutiveSlowCalls + 1 : 0
  }

  /** Ends both replication tasks. */
  stop (): void {
    this.isActive = false
    this.entriesSignal.notify()
    this.heartbeatSignal.notify()
  }
}
