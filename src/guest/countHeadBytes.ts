import type { IncomingMessage } from 'node:http'

/** Separators of a header line: a colon, a space and the end of the line. */
const LINE_OVERHEAD_BYTES = 4

/**
 * @param message - a request
 * @returns size of its headers as received, in bytes, without the request line; optional white space is not counted
 */
export function countHeadBytes ({ rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>): number {
  // The parser gives one character a byte.
  return rawHeaders.reduce((sum, text) => sum + text.length, 0) + rawHeaders.length / 2 * LINE_OVERHEAD_BYTES
}
