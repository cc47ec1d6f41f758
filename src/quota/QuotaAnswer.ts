/** Whether a request may be sent on behalf of its account. */
export type QuotaAnswer = GrantedQuota | DeniedQuota

export interface GrantedQuota {
  isGranted: true
  /** Gives the token back, if the request reached no upstream. */
  refund: () => void
}

export interface DeniedQuota {
  isGranted: false
  /** Time after which the account has quota again, as far as known. */
  retryAfterMilliseconds: number
  /** Whether the quota is used up; false when no control host answered. */
  isExceeded: boolean
}
