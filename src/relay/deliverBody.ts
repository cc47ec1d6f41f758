import type { ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import type { RelayAnswer } from './RelayAnswer.js'

/**
 * Sends a body and ends the response. A stream that breaks off destroys the connection,
 * so that the receiver never takes a part for the whole.
 *
 * @param body - the body
 * @param response - takes the body
 */
export async function deliverBody (body: Buffer | Readable, response: ServerResponse): Promise<void> {
  if (Buffer.isBuffer(body)) {
    response.end(body)
    return
  }
  try {
    await pipeline(body, response)
  } catch {
    response.destroy()
  }
}

/** @returns the header that tells the length of a whole body, none for a stream */
export function createLengthHeader (body: Buffer | Readable): Record<string, string> {
  return Buffer.isBuffer(body) ? { 'content-length': String(body.length) } : {}
}

/**
 * Sends status and body of an answer whose headers are set. An answer that ended with its connection may be a part;
 * it ends with the guest's connection too, so that no length makes it look whole.
 *
 * @param answer - the answer
 * @param response - takes it
 */
export async function deliverAnswer ({ status, body, endsWithConnection }: RelayAnswer, response: ServerResponse): Promise<void> {
  if (endsWithConnection === true) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    response.writeHead(status)
  } else response.writeHead(status, createLengthHeader(body))
  await deliverBody(body, response)
}
