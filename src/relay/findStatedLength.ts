import type { HeaderField } from './RelayedRequest.js'

/** @returns the length that the headers of an answer state for its body; undefined when it was sent in chunks or without a length */
export function findStatedLength (headers: HeaderField[]): string | undefined {
  if (headers.some(({ name }) => name === 'transfer-encoding')) return undefined
  return headers.find(({ name }) => name === 'content-length')?.value
}
