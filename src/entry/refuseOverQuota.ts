import type { DeniedQuota } from '../quota/QuotaAnswer.js'
import { refuse } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { RefusalReason } from '../types/RefusalReason.js'

/**
 * @param denial - why the request got no token, and when there are some
 * @param cancelled - aborted when the guest disconnected while it waited
 * @returns the answer to the guest
 */
export function refuseOverQuota ({ isExceeded, retryAfterMilliseconds }: DeniedQuota, cancelled: AbortSignal): RelayAnswer {
  if (cancelled.aborted) return refuse(RefusalReason.Cancelled)
  return { ...refuse(isExceeded ? RefusalReason.QuotaExceeded : RefusalReason.QuotaUnavailable), retryAfterMilliseconds }
}
