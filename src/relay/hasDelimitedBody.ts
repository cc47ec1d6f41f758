import type { IncomingHttpHeaders } from 'node:http'

/** Answers that have no body, whatever their head says of one. */
export const BODILESS_STATUSES = new Set([204, 304])

/** What determines where the body of an answer ends. */
export interface AnswerFraming {
  /** Method of the request. */
  method: string
  status: number
  headers: IncomingHttpHeaders
}

/** @returns whether an answer itself tells where its body ends; the end of any other body is the end of its connection (RFC 9112, 6.3) */
export function hasDelimitedBody ({ method, status, headers }: AnswerFraming): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return true
  const encodings = headers['transfer-encoding']
  if (encodings === undefined) return headers['content-length'] !== undefined
  return /(^|,)\s*chunked\s*$/i.test(String(encodings))
}
