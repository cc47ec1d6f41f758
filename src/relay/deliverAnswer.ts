import type { ServerResponse } from 'node:http'
import { createLengthHeader, deliverBody } from './deliverBody.js'
import { findStatedLength } from './findStatedLength.js'
import type { RelayAnswer } from './RelayAnswer.js'

/**
 * Sends status and body of an answer that {@link replaceUnframableAnswer} let through; the headers must have been set. Its length or its last
 * chunk tells the guest that the body is whole, as a process that is killed ends its connections in order. A body that only the end
 * of the upstream's connection delimits ends with the guest's, too, and is written at once: its upstream may have broken it off.
 *
 * @param answer - the answer to send
 * @param response - response to the guest
 */
export async function deliverAnswer ({ status, headers, body, endsWithConnection }: RelayAnswer, response: ServerResponse): Promise<void> {
  if (endsWithConnection === true) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    response.writeHead(status)
  } else response.writeHead(status, composeLengthHeader(headers, body))
  await deliverBody(body, response)
}

function composeLengthHeader (headers: RelayAnswer['headers'], body: RelayAnswer['body']): Record<string, string> {
  const statedLength = Buffer.isBuffer(body) ? undefined : findStatedLength(headers)
  return statedLength === undefined ? createLengthHeader(body) : { 'content-length': statedLength }
}
