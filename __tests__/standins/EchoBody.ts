import { createHash } from 'node:crypto'

/** Body of a stand-in upstream's answer. It lets a guest check that the answer is complete and belongs to its request. */
export interface EchoBody {
  token: string
  /** SHA-256 of the request's body, hexadecimal. */
  digest: string
  upstream: string
  service: string
  padding: string
}

/**
 * @param body - any bytes
 * @returns the SHA-256 of the bytes, hexadecimal
 */
export function digestBody (body: Buffer | string): string {
  return createHash('sha256').update(body).digest('hex')
}
