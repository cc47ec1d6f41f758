import type { IncomingMessage } from 'node:http'
import { isHopByHopHeader } from '../relay/isHopByHopHeader.js'
import type { HeaderField } from '../relay/RelayedRequest.js'

/**
 * @param message - a guest's request
 * @returns its headers except those that apply to a single connection, with names in lower case
 */
export function listEndToEndHeaders (message: IncomingMessage): HeaderField[] {
  const connectionHeaders = new Set((message.headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
  const fields: HeaderField[] = []
  for (let index = 0; index < message.rawHeaders.length; index += 2) {
    const name = message.rawHeaders[index]!.toLowerCase()
    if (isHopByHopHeader(name) || connectionHeaders.has(name)) continue
    fields.push({ name, value: message.rawHeaders[index + 1]! })
  }
  return fields
}
