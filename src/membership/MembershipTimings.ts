/** Intervals, timeouts and bounds of {@link GossipMembership}. */
export interface MembershipTimings {
  /** Interval between two probes by one host when there are few hosts. */
  probeIntervalMilliseconds: number
  /** Timeout of a direct probe. */
  probeTimeoutMilliseconds: number
  /** Timeout of probes through other hosts. */
  indirectTimeoutMilliseconds: number
  /** Number of other hosts that are asked to probe a host that did not answer. */
  indirectPeers: number
  /** Number of probe intervals after which a suspect host that has not refuted the suspicion is declared dead. */
  suspicionProbeIntervals: number
  /** Interval between two exchanges with other failure domains by one of {@link delegatesPerDomain} delegates. */
  exchangeIntervalMilliseconds: number
  /** Timeout of an exchange; longer than a round trip between regions over a new connection. */
  exchangeTimeoutMilliseconds: number
  /** Number of hosts of a failure domain that exchange records with other domains. */
  delegatesPerDomain: number
  /** Time without contact after which a domain's hosts are suspect; the time that contacts need to spread is added. */
  domainSuspectMilliseconds: number
  /** Time without contact after which a domain's hosts are dead; the time that contacts need to spread is added. */
  domainDeadMilliseconds: number
  /** Time after which dead hosts, and hosts that left, are evicted. */
  forgetMilliseconds: number
  /** Time after which the hosts of a domain without contact are evicted. */
  forgetDomainMilliseconds: number
  /** Maximum gap between two checks of the monotonic clock; after a longer gap the local process counts as stalled. */
  freezeMilliseconds: number
  /** Minimum interval between two published records that differ only in load figures. */
  loadIntervalMilliseconds: number
}

/** Default timings, which detect failures within two seconds at round trips of up to 110 ms. */
export const DEFAULT_MEMBERSHIP_TIMINGS: MembershipTimings = {
  probeIntervalMilliseconds: 200,
  probeTimeoutMilliseconds: 100,
  indirectTimeoutMilliseconds: 300,
  indirectPeers: 3,
  suspicionProbeIntervals: 3,
  exchangeIntervalMilliseconds: 250,
  exchangeTimeoutMilliseconds: 400,
  delegatesPerDomain: 3,
  domainSuspectMilliseconds: 700,
  domainDeadMilliseconds: 1300,
  forgetMilliseconds: 600_000,
  forgetDomainMilliseconds: 86_400_000,
  freezeMilliseconds: 500,
  loadIntervalMilliseconds: 1000
}
