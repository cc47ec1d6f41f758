/** A group of hosts that share budgets, with the voters that elect the holder. */
export interface LeaseScope {
  /** Name of the scope, identical on all its hosts and unique among scopes. */
  name: string
  /** Names of all hosts that may spend at any time, running or not; each has an equal static share, which it may lend. */
  consumers: readonly string[]
  /** Names of the hosts whose promises elect the holder, which divides the budgets; includes all consumers. */
  voters: readonly string[]
  /**
   * Returns whether a set of voters is a quorum. Any two quorums must have a host in common.
   *
   * @param names - voters that promised their support, including the candidate
   */
  isQuorum: (names: ReadonlySet<string>) => boolean
}
