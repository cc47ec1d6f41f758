import type { IncomingMessage } from 'node:http'
import { InjectedFault } from './InjectedFault.js'

/** Headers and query parameters of a request to a stand-in upstream. */
export interface ReceivedRequest {
  /** Identifier that the guest put into the query. */
  token: string
  /** Identifier of the guest's sending; differs between resends. */
  sending: string | undefined
  fault: InjectedFault
  /** Idempotency key, of one-time actions. */
  key: string | undefined
  /** Identifier that the relay gave the request. */
  requestIdentifier: string | undefined
  /** Remaining time until the deadline, infinite without one. */
  deadlineMilliseconds: number
  /** Service time that the request asks for, if any. */
  workMilliseconds: number | undefined
  /** Bytes of padding to add to the body of the answer. */
  paddingBytes: number
}

/**
 * @param message - received request
 * @returns the values of its headers and query parameters
 */
export function parseReceivedRequest (message: IncomingMessage): ReceivedRequest {
  const query = new URL(message.url ?? '/', 'http://upstream').searchParams
  const work = query.get('work')
  return {
    token: query.get('token') ?? '',
    sending: readHeader(message, 'guest-sending'),
    fault: parseFault(query.get('mark'), message.headers['x-crash']),
    key: readHeader(message, 'idempotency-key'),
    requestIdentifier: readHeader(message, 'hibiscusrelay-request'),
    deadlineMilliseconds: Number(readHeader(message, 'hibiscusrelay-deadline') ?? Infinity),
    workMilliseconds: work === null ? undefined : Number(work),
    paddingBytes: Number(query.get('padding') ?? 0)
  }
}

function parseFault (mark: string | null, crashHeader: string | string[] | undefined): InjectedFault {
  if (crashHeader === '1') return InjectedFault.Crash
  return Object.values(InjectedFault).find((fault) => fault === mark) ?? InjectedFault.None
}

function readHeader (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return typeof value === 'string' ? value : value?.[0]
}
