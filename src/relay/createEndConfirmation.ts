import type { Counters } from '../observe/Counters.js'
import { END_CONFIRMED_COUNTER, END_UNCONFIRMED_COUNTER } from '../observe/declareCounters.js'
import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'

/** An exchange whose answer may end with its connection. */
export interface EndConfirmation {
  /** Identifier of the request. */
  id: string
  /** Address of the upstream. */
  peer: string
  /** Called when the answer has arrived up to its end. */
  onArrived: () => void
  /** Finds out whether the upstream is alive after now. */
  isAlive: () => Promise<boolean>
  counters: Counters
  log: Log
}

/**
 * Creates the function that confirms the end of an answer which only the end of its connection delimits: a process that is
 * killed ends its connections in order, too, so that only one that lives on has written all of its answer.
 *
 * @returns a function that resolves with whether the end is confirmed, for {@link ExchangeRequest.confirmEnd}
 */
export function createEndConfirmation ({ id, peer, onArrived, isAlive, counters, log }: EndConfirmation): () => Promise<boolean> {
  return async () => {
    const startedAt = performance.now()
    onArrived()
    const isConfirmed = await isAlive()
    counters.increment(isConfirmed ? END_CONFIRMED_COUNTER : END_UNCONFIRMED_COUNTER)
    if (!isConfirmed) log.warn('answer-end-unconfirmed', { step: Step.Answer, request: id, peer, took: Math.round(performance.now() - startedAt) })
    return isConfirmed
  }
}
