import type { AnswerHead } from './exchange.js'
import type { RelayedRequest } from './RelayedRequest.js'
import type { Upstream } from './Upstream.js'

/** Header with the identifier of a request, which most upstreams return in their answers. */
export const REQUEST_HEADER = 'hibiscusrelay-request'

/** @returns whether an upstream that returns the identifiers of its requests answered another one */
export function isAnswerOfAnother ({ id }: RelayedRequest, { echoesRequest }: Upstream, head: AnswerHead): boolean {
  return echoesRequest && findEchoedRequest(head) !== id
}

/** @returns the identifier of the request that an answer belongs to, undefined if it names none */
export function findEchoedRequest ({ headers }: AnswerHead): string | undefined {
  return headers.find(({ name }) => name === REQUEST_HEADER)?.value
}
