import type { IncomingMessage } from 'node:http'
import { RefusalReason } from '../types/RefusalReason.js'
import { pause } from '../utils/pause.js'
import { readBody } from './readBody.js'

/**
 * Reads the whole body of a guest's request, as long as its answer is not due.
 *
 * @param message - the request
 * @param maximumBytes - most bytes to take
 * @param deadline - when the answer is due, on the clock of `performance.now()`
 * @returns the body, or why it is not had
 * @throws when the connection breaks before the end
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
