import type { ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'

/**
 * Sends a body and ends the response. A stream that breaks off destroys the connection,
 * so that the receiver never takes a truncated body for a complete one.
 *
 * @param body - the complete body, or a stream of it
 * @param response - response to which the body is written
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

/** @returns the `content-length` header of a complete body, none for a stream */
export function createLengthHeader (body: Buffer | Readable): Record<string, string> {
  return Buffer.isBuffer(body) ? { 'content-length': String(body.length) } : {}
}
