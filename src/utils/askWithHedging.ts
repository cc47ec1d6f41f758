import { pause } from './pause.js'

/** What came of asking several hosts. */
export interface HedgedResult {
  /** The first one that agreed. */
  agreeingAddress: string | undefined
  /** The first one that answered at all. */
  answeringAddress: string | undefined
}

/**
 * Asks hosts until one agrees. Those that are silent don't hold up the others: the next one is asked beside them, so that
 * a loss of several costs little more than the loss of one.
 *
 * @param addresses - whom to ask, in this order
 * @param ask - asks one whether it agrees; rejects when there is no answer
 * @param hedgingDelayMilliseconds - time that one gets before the next one is asked beside it
 */
export async function askWithHedging (addresses: readonly string[], ask: (address: string) => Promise<boolean>, hedgingDelayMilliseconds: number): Promise<HedgedResult> {
  const result: HedgedResult = { agreeingAddress: undefined, answeringAddress: undefined }
  const answers: Array<Promise<string>> = []
  for (const address of addresses) {
    const answer = ask(address).then((agrees) => {
      result.answeringAddress ??= address
      if (!agrees) throw new Error(`${address} does not agree`)
      result.agreeingAddress ??= address
      return address
    })
    answers.push(answer)
    await Promise.race([answer.catch(() => undefined), pause(hedgingDelayMilliseconds)])
    if (result.agreeingAddress !== undefined) return result
  }
  // Rejects when none agrees, which the result tells by itself.
  await Promise.any(answers).catch(() => undefined)
  return result
}
