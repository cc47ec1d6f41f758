import { pause } from '../utils/pause.js'

/** Time that one control host gets before the next one is asked beside it: a round trip between regions, and some more. */
const STEP_MILLISECONDS = 150

/** What a search found. */
export interface FoundControlHost {
  /** The first one that is current. */
  current: string | undefined
  /** The first one that answered at all. */
  answering: string | undefined
}

/**
 * Asks control hosts until one is current. Those that are silent don't hold up the search: the next one is asked beside
 * them, so that a loss of several costs little more than the loss of one.
 *
 * @param addresses - whom to ask, in this order
 * @param ask - asks one whether it is current; rejects when there is no answer
 */
export async function findControlHost (addresses: readonly string[], ask: (address: string) => Promise<boolean>): Promise<FoundControlHost> {
  const found: FoundControlHost = { current: undefined, answering: undefined }
  const asked: Array<Promise<string>> = []
  for (const address of addresses) {
    const answer = ask(address).then((isCurrent) => {
      found.answering ??= address
      if (!isCurrent) throw new Error(`${address} is not current`)
      found.current ??= address
      return address
    })
    asked.push(answer)
    await Promise.race([answer.catch(() => undefined), pause(STEP_MILLISECONDS)])
    if (found.current !== undefined) return found
  }
  // Rejects when none is current, which the result tells by itself.
  await Promise.any(asked).catch(() => undefined)
  return found
}
