import type { IncomingMessage, ServerResponse } from 'node:http'
import { pause } from '../utils/pause.js'

/** How long the rest of a request is read after its answer was written: a round trip, after which the caller has the answer. */
const LINGER_MILLISECONDS = 300

/**
 * Writes the body of an answer to a request that may still be arriving, and ends the response when the request has arrived
 * or a short time has passed. Closing a connection with unread bytes resets it, and the caller could lose the answer.
 *
 * @param message - the request; the rest of its body is discarded
 * @param response - response whose head has been written with the length of the body
 * @param body - the complete body
 */
export async function endAfterRequest (message: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
  if (!message.complete && !message.destroyed) {
    response.write(body)
    await waitForEnd(message)
    response.end()
    return
  }
  response.end(body)
}

async function waitForEnd (message: IncomingMessage): Promise<void> {
  const abortController = new AbortController()
  message.once('end', () => { abortController.abort() }).once('close', () => { abortController.abort() }).resume()
  await pause(LINGER_MILLISECONDS, abortController.signal)
}
