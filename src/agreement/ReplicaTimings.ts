/** Intervals and timeouts of a replica, in milliseconds. */
export interface ReplicaTimings {
  /** Interval between two heartbeats of a leader. */
  heartbeatMilliseconds: number
  /** Minimum election timeout: silence of the leader after which a follower starts an election. */
  minimumElectionMilliseconds: number
  /** Maximum election timeout. */
  maximumElectionMilliseconds: number
  /** Leader lease: how long a leader continues without answers from a majority; below the minimum election timeout. */
  leaseMilliseconds: number
  /** Timeout of a heartbeat or a vote request. */
  callMilliseconds: number
  /** Maximum timeout of a call with entries or a snapshot chunk. */
  transferMilliseconds: number
  /** Timeout of a status request to a replica that an operator's command names. */
  statusMilliseconds: number
  /** Time that a proposal waits for its commit. */
  commitMilliseconds: number
  /** Maximum time of a leadership transfer at a planned stop. */
  handoverMilliseconds: number
  /** Interval at which a replica whose disk failed opens its folder again. */
  reopenMilliseconds: number
}

/** Default timings, for regions with a one-way delay of up to 55 ms. */
export const defaultReplicaTimings: ReplicaTimings = {
  heartbeatMilliseconds: 100,
  minimumElectionMilliseconds: 600,
  maximumElectionMilliseconds: 1_200,
  leaseMilliseconds: 500,
  callMilliseconds: 400,
  transferMilliseconds: 10_000,
  statusMilliseconds: 2_000,
  commitMilliseconds: 5_000,
  handoverMilliseconds: 1_000,
  reopenMilliseconds: 1_000
}
