import { answerUnknown, refuse } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { RefusalReason } from '../types/RefusalReason.js'
import type { RequestProgress } from './RequestProgress.js'

/**
 * Answers a request that no upstream has answered. One that may have run is answered as unknown, never as refused.
 *
 * @param progress - its attempts
 * @param reason - why there is no further attempt
 */
export function finishUnanswered (progress: RequestProgress, reason: RefusalReason): RelayAnswer {
  if (progress.mayHaveRun) return answerUnknown(progress.lostReason)
  return { ...refuse(reason), retryAfterMilliseconds: reason === RefusalReason.UpstreamsPaused ? progress.returnMilliseconds : undefined }
}
