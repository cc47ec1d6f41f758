import { pause } from './pause.js'

/** Result of {@link askWithHedging}; an address is undefined when no host has given that answer. */
export interface HedgedResult {
  /** Address of the first host that agreed. */
  agreeingAddress: string | undefined
  /** Address of the first host that answered at all. */
  answeringAddress: string | undefined
}

/**
 * Asks hosts in order until one agrees. A host that does not answer within the hedging delay does not block the others:
 * the next one is asked in parallel, so that the loss of several hosts costs little more time than the loss of one.
 *
 * @param addresses - addresses of the hosts, in the order of asking
 * @param ask - asks one host whether it agrees; rejects when there is no answer
 * @param hedgingDelayMilliseconds - time after which the next host is asked in parallel
 * @returns the hosts that agreed and answered first; resolves at the latest when every host has answered or failed
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
  // Rejects when no host agrees; the result already shows that.
  await Promise.any(answers).catch(() => undefined)
  return result
}
