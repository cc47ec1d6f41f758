import type { IncomingMessage } from 'node:http'
import { InjectedFault } from './InjectedFault.js'

/** What a stand-in upstream reads of a request. */
export interface ReceivedRequest {
  token: string
  sending: string | undefined
  fault: InjectedFault
  key: string | undefined
  requestIdentifier: string | undefined
  deadlineMilliseconds: number
  /** Service time that the request asks for, if any. */
  workMilliseconds: number | undefined
  /** Bytes of padding that the answer shall carry. */
  paddingBytes: number
}

/**
 * @param message - the request as it arrived
 * @returns what its headers and query say
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
