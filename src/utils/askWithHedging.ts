import { pause } from './pause.js'

/**
 * Asks hosts in order until one agrees. A host that does not answer within the hedging delay does not block the others:
 * the next one is asked in parallel, so that the loss of several hosts costs little more time than the loss of one.
 *
 * @param addresses - addresses of the hosts, in the order of asking
 * @param ask - asks one host whether it agrees; rejects when there is no answer
 * @param hedgingDelayMilliseconds - time after which the next host is asked in parallel
 * @returns address of the first host that agreed, undefined when every host has answered or failed and none agrees
 */
export async function askWithHedging (addresses: readonly string[], ask: (address: string) => Promise<boolean>, hedgingDelayMilliseconds: number): Promise<string | undefined> {
  let agreeingAddress: string | undefined
  const answers: Array<Promise<string>> = []
  for (const address of addresses) {
    const answer = ask(address).then((agrees) => {
      if (!agrees) throw new Error(`${address} does not agree`)
      agreeingAddress ??= address
      return address
    })
    answers.push(answer)
    await Promise.race([answer.catch(() => undefined), pause(hedgingDelayMilliseconds)])
    if (agreeingAddress !== undefined) return agreeingAddress
  }
  // Rejects when no host agrees; the result already shows that.
  await Promise.any(answers).catch(() => undefined)
  return agreeingAddress
}
