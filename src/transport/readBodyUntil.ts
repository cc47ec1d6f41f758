import type { IncomingMessage } from 'node:http'
import { RefusalReason } from '../types/RefusalReason.js'
import { pause } from '../utils/pause.js'
import { readBody } from './readBody.js'

/**
 * Reads the complete body of a guest's request, until the deadline of its answer.
 *
 * @param message - request of the guest
 * @param maximumBytes - maximum size of the body
 * @param deadline - deadline of the answer, in milliseconds on the clock of `performance.now()`
 * @returns the body, or the reason for refusing the request
 * @throws when the connection breaks before the end of the body
 */
export async function readBodyUntil (message: IncomingMessage, maximumBytes: number, deadline: number): Promise<Buffer | RefusalReason> {
  const abortController = new AbortController()
  const deadlineRefusal = pause(deadline - performance.now(), abortController.signal).then(() => RefusalReason.BodyTimedOut)
  try {
    return await Promise.race([readBody(message, maximumBytes), deadlineRefusal]) ?? RefusalReason.BodyTooLarge
  } finally {
    abortController.abort()
  }
}
