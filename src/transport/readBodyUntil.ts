import type { IncomingMessage } from 'node:http'
import type { StopWindow } from '../limits/StopWindow.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { pause } from '../utils/pause.js'
import type { MessageMemory } from '../limits/MessageMemory.js'
import { readBody } from './readBody.js'

/**
 * Reads the complete body of a guest's request, until the deadline of its answer or a stop that does not admit it.
 *
 * @param message - request of the guest
 * @param maximumBytes - maximum size of the body
 * @param deadline - deadline of the answer, in milliseconds on the clock of `performance.now()`
 * @param stopWindow - decides what a stopping host still accepts
 * @param memory - shared memory that a large body takes
 * @returns the body, or the reason for refusing the request
 * @throws when the connection breaks before the end of the body
 */
export async function readBodyUntil (message: IncomingMessage, maximumBytes: number, deadline: number, stopWindow: StopWindow, memory?: MessageMemory): Promise<Buffer | RefusalReason> {
  if (!stopWindow.admits(deadline)) return RefusalReason.Stopping
  const abortController = new AbortController()
  const deadlineRefusal = pause(deadline - performance.now(), abortController.signal).then(() => RefusalReason.BodyTimedOut)
  let endWatch = (): void => {}
  const stopRefusal = new Promise<RefusalReason>((resolve) => { endWatch = stopWindow.watch(deadline, () => { resolve(RefusalReason.Stopping) }) })
  try {
    const body = await Promise.race([readBody(message, maximumBytes, memory), deadlineRefusal, stopRefusal])
    return body ?? (memory?.hasRefused === true ? RefusalReason.BodyMemory : RefusalReason.BodyTooLarge)
  } finally {
    endWatch()
    abortController.abort()
  }
}
