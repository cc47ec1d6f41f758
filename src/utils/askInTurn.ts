import { pause } from './pause.js'

/** What came of asking several hosts. */
export interface AskedInTurn {
  /** The first one that agreed. */
  agreedAddress: string | undefined
  /** The first one that answered at all. */
  answeredAddress: string | undefined
}

/**
 * Asks hosts until one agrees. Those that are silent don't hold up the others: the next one is asked beside them, so that
 * a loss of several costs little more than the loss of one.
 *
 * @param addresses - whom to ask, in this order
 * @param ask - asks one whether it agrees; rejects when there is no answer
 * @param stepMilliseconds - time that one gets before the next one is asked beside it
 */
export async function askInTurn (addresses: readonly string[], ask: (address: string) => Promise<boolean>, stepMilliseconds: number): Promise<AskedInTurn> {
  const result: AskedInTurn = { agreedAddress: undefined, answeredAddress: undefined }
  const asked: Array<Promise<string>> = []
  for (const address of addresses) {
    const answer = ask(address).then((agrees) => {
      result.answeredAddress ??= address
      if (!agrees) throw new Error(`${address} does not agree`)
      result.agreedAddress ??= address
      return address
    })
    asked.push(answer)
    await Promise.race([answer.catch(() => undefined), pause(stepMilliseconds)])
    if (result.agreedAddress !== undefined) return result
  }
  // Rejects when none agrees, which the result tells by itself.
  await Promise.any(asked).catch(() => undefined)
  return result
}
