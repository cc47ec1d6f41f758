import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { Outcome } from '../types/Outcome.js'
import { finishUnanswered } from './finishUnanswered.js'
import type { RequestProgress } from './RequestProgress.js'
import { RefusalReason } from '../types/RefusalReason.js'

/**
 * Waits until one of several attempts has answered a request, or all have failed.
 *
 * @param attempts - attempts that run at the same time
 * @param progress - progress of the request
 * @returns the answer of an upstream if there is one; otherwise the answer of the attempt that ended the request, undefined when
 * it may be retried. A request that any attempt may have run is not reported as refused.
 */
export async function takeFirstAnswer (attempts: ReadonlyArray<Promise<RelayAnswer | undefined>>, progress: RequestProgress): Promise<RelayAnswer | undefined> {
  return await new Promise((resolve, reject) => {
    const failed: RelayAnswer[] = []
    let openCount = attempts.length
    const take = (answer: RelayAnswer | undefined): void => {
      openCount -= 1
      if (answer?.outcome === Outcome.Ran) return resolve(answer)
      if (answer !== undefined) failed.push(answer)
      if (openCount === 0) resolve(selectFailure(failed, progress))
    }
    for (const attempt of attempts) attempt.then(take, reject)
  })
}

function selectFailure (failed: readonly RelayAnswer[], progress: RequestProgress): RelayAnswer | undefined {
  const unknown = failed.find(({ outcome }) => outcome === Outcome.Unknown)
  if (unknown !== undefined || failed.length === 0) return unknown
  return progress.mayHaveRun ? finishUnanswered(progress, failed[0]!.reason ?? RefusalReason.AnswerLost) : failed[0]
}
