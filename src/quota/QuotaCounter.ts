/** Names of the counters of quotas; refusals of guests are counted as `refused.quota-exceeded` and `refused.quota-unavailable`. */
export enum QuotaCounter {
  /** Calls of an entry host to a control host. */
  Calls = 'quota.calls',
  /** Calls that were not answered in time. */
  FailedCalls = 'quota.calls-failed',
  /** Calls to other control hosts because the first one had no tokens left. */
  FurtherCalls = 'quota.calls-elsewhere',
  /** Tokens that an entry host received for waiting requests and in advance. */
  Received = 'quota.tokens-received',
  /** Tokens that expired at an entry host before a request needed them. */
  Expired = 'quota.tokens-expired',
  /** Tokens of requests that reached no upstream. */
  Refunded = 'quota.tokens-refunded',
  /** Tokens that a control host granted. */
  Granted = 'quota.tokens-granted',
  /** Requests for which a control host had no token left. */
  Denied = 'quota.tokens-denied',
  /** Rows of calls for accounts that the control host does not know. */
  Unknown = 'quota.account-unknown',
  /** Suspensions of a control host after which it began anew. */
  Suspended = 'quota.suspended'
}
