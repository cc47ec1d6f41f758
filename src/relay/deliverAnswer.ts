import type { ServerResponse } from 'node:http'
import { createLengthHeader, deliverBody } from './deliverBody.js'
import { findStatedLength } from './findStatedLength.js'
import type { RelayAnswer } from './RelayAnswer.js'

/**
 * Sends status and body of an answer that {@link replaceUnframableAnswer} let through; the headers must have been set. Its length or its last
 * chunk tells the guest that the body is whole, never the end of the connection: a process that is killed ends its connections in order, too.
 *
 * @param answer - the answer to send
 * @param response - response to the guest
 */
export async function deliverAnswer ({ status, headers, body }: RelayAnswer, response: ServerResponse): Promise<void> {
  const statedLength = Buffer.isBuffer(body) ? undefined : findStatedLength(headers)
  response.writeHead(status, statedLength === undefined ? createLengthHeader(body) : { 'content-length': statedLength })
  await deliverBody(body, response)
}
