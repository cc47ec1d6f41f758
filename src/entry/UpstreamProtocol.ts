import type { LoadReport } from '../placement/LoadReport.js'
import type { AnswerHead, ExchangeAnswer } from '../relay/exchange.js'
import type { HeadOrigin } from '../relay/HeadOrigin.js'
import type { HeaderField } from '../relay/RelayedRequest.js'
import type { EntryRequest } from './EntryRequest.js'
import type { UpstreamNotice } from './UpstreamNotice.js'

/** Meaning of an answer that arrives from an upstream. */
export enum AnswerKind {
  /** The upstream's answer to this request, whatever its status. */
  Own = 'own',
  /** The upstream did not run the request and will not. */
  NotRun = 'not-run',
  /** Another upstream has the address; it did not run the request. */
  OtherUpstream = 'other-upstream',
  /** The answer belongs to another request or does not come from an upstream; the request may have run. */
  Foreign = 'foreign'
}

/** Encoding of requests and answers between hosts and upstreams. */
export interface UpstreamProtocol {
  /**
   * @param request - the guest's request
   * @param upstream - identifier of the upstream that must run it
   * @param remainingMilliseconds - time until its deadline
   * @returns the headers to send
   */
  composeHeaders (request: EntryRequest, upstream: string, remainingMilliseconds: number): HeaderField[]
  /** @returns the meaning of an answer to the request, by its head */
  classifyAnswer (request: EntryRequest, head: AnswerHead): AnswerKind
  /** @returns whose answer a head introduces that is found within the body of the answer to the request */
  identifyHead (request: EntryRequest, head: AnswerHead): HeadOrigin
  /** @returns the load that the upstream reported with the answer, undefined if it reported none */
  readLoad (answer: ExchangeAnswer): LoadReport | undefined
  /** @returns what the upstream says of itself in the head of an answer */
  readNotice (head: AnswerHead): UpstreamNotice
  /** @returns identifier of the upstream that the head of an answer to a health request names, undefined when it names none */
  readIdentifier (head: AnswerHead): string | undefined
}
