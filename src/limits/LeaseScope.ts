/** The hosts among which budgets are shared. */
export interface LeaseScope {
  /** Name, the same on all its hosts and unique among scopes. */
  name: string
  /** Names of all hosts that may ever spend; each has an equal static share, which it may lend. */
  consumers: readonly string[]
  /** Names of the hosts whose promises decide who divides the budgets; holds the spenders. */
  voters: readonly string[]
  /**
   * Tells whether some voters are a quorum. Any two quorums must have a host in common.
   *
   * @param names - voters that promised; holds the candidate itself
   */
  isQuorum: (names: ReadonlySet<string>) => boolean
}
