import type { LoadReport } from '../placement/LoadReport.js'
import type { ExchangeAnswer } from '../relay/exchange.js'
import type { HeaderField } from '../relay/RelayedRequest.js'
import type { EntryRequest } from './EntryRequest.js'

/** What an answer of an upstream means. */
export enum AnswerKind {
  /** The upstream's answer to this request, whatever its status. */
  Own = 'own',
  /** The upstream did not run the request and won't. */
  NotRun = 'not-run',
  /** Another upstream has the address; it did not run the request. */
  OtherUpstream = 'other-upstream',
  /** It belongs to another request, or is no answer of an upstream; the request may have run. */
  Foreign = 'foreign'
}

/** How requests and answers are written between hosts and upstreams. */
export interface UpstreamProtocol {
  /**
   * @param request - the request
   * @param upstream - identifier of the upstream that must run it
   * @param remainingMilliseconds - what is left of its time
   * @returns the headers to send
   */
  composeHeaders (request: EntryRequest, upstream: string, remainingMilliseconds: number): HeaderField[]
  /** @returns what an answer to the request means */
  judge (request: EntryRequest, answer: ExchangeAnswer): AnswerKind
  /** @returns the load that the upstream told with the answer, if it did */
  readLoad (answer: ExchangeAnswer): LoadReport | undefined
}
