import type { ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { errorTexts } from '../errors/errorTexts.js'

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
  const destroyBody = (): void => { body.destroy() }
  response.once('close', destroyBody)
  try {
    for await (const part of body) await writePart(response, part as Buffer, body)
    response.off('close', destroyBody)
    response.end()
  } catch {
    // The stream, or the connection of the guest, has ended: whoever failed it has logged the cause.
    response.destroy()
  }
}

/**
 * Waits until the kernel has taken a part: what its receiver does not read yet stays in the body, where small pieces are joined.
 * A body that breaks off meanwhile, for example at its deadline, ends the wait for a receiver that reads nothing.
 */
async function writePart (response: ServerResponse, part: Buffer, body: Readable): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const fail = (): void => { reject(new Error(errorTexts.receiverDisconnected())) }
    // A body is closed as well when all of it has been handed over.
    const failIfIncomplete = (): void => { if (!body.readableEnded) fail() }
    if (response.destroyed || (body.destroyed && !body.readableEnded)) return fail()
    response.once('close', fail)
    body.once('close', failIfIncomplete)
    response.write(part, (error) => {
      response.off('close', fail)
      body.off('close', failIfIncomplete)
      if (error == null) resolve()
      else reject(error)
    })
  })
}

/** @returns the `content-length` header of a complete body, none for a stream */
export function createLengthHeader (body: Buffer | Readable): Record<string, string> {
  return Buffer.isBuffer(body) ? { 'content-length': String(body.length) } : {}
}
