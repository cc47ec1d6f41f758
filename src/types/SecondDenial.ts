/** Why a slow first attempt gets no second one yet; each is a value of the field `second-denied` in log lines. */
export enum SecondDenial {
  /** The first attempt is expected to end sooner than a second one would, or the second one too late for the guest. */
  NotFaster = 'not-faster',
  /** No upstream may take it: those that may are full or would run it cold. */
  NoUpstream = 'no-upstream',
  /** The host's share of the slots of the service is in use, or requests wait for it. */
  NoSlots = 'no-slots',
  /** The request is suspected of ending upstreams. */
  Suspect = 'suspect',
  /** The host stops before the request's deadline. */
  Stopping = 'stopping',
  /** The ratio of second attempts is used up. */
  Ratio = 'ratio',
  /** The share of the retry budget is used up. */
  RetryBudget = 'retry-budget'
}
