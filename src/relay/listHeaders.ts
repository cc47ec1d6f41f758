import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderField } from './RelayedRequest.js'

/**
 * @param headers - headers of an answer, as the HTTP library gives them
 * @returns one field for each value
 */
export function listHeaders (headers: IncomingHttpHeaders): HeaderField[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (Array.isArray(value)) return value.map((each) => ({ name, value: each }))
    return value === undefined ? [] : [{ name, value }]
  })
}
