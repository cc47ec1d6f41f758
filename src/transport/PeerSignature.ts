import { createHmac, timingSafeEqual } from 'node:crypto'

/** Header with the signature of a call between hosts. */
export const SIGNATURE_HEADER = 'hibiscusrelay-signature'

const MAXIMUM_AGE_MILLISECONDS = 60_000

/** Parts of a call that its signature covers, besides the time of signing. */
export interface SignedParts {
  path: string
  /** Head of a forwarded request, empty for other calls. */
  head: string
  body: Buffer | string
}

/** Signs calls between hosts with their shared key (HMAC-SHA-256), and verifies such signatures. */
export class PeerSignature {
  readonly #key: string

  /** @param key - key that all hosts share */
  constructor (key: string) {
    this.#key = key
  }

  /**
   * Signs a call, with the current time.
   *
   * @param parts - parts that the signature covers
   * @returns value of the signature header
   */
  sign (parts: SignedParts): string {
    const signedAt = Date.now()
    return `${signedAt}.${this.#computeDigest(signedAt, parts)}`
  }

  /**
   * Verifies a signature.
   *
   * @param signature - value of the signature header, undefined when the header is missing
   * @param parts - parts that the signature must cover
   * @returns whether the signature was made with the key, and its time is within one minute of this host's clock
   */
  verify (signature: string | undefined, parts: SignedParts): boolean {
    const match = /^(\d{1,15})\.([0-9a-f]{64})$/.exec(signature ?? '')
    if (match === null) return false
    const signedAt = Number(match[1])
    if (Math.abs(Date.now() - signedAt) > MAXIMUM_AGE_MILLISECONDS) return false
    return timingSafeEqual(Buffer.from(match[2]!), Buffer.from(this.#computeDigest(signedAt, parts)))
  }

  #computeDigest (signedAt: number, parts: SignedParts): string {
    return createHmac('sha256', this.#key)
      .update(`${signedAt}\n${parts.path}\n${parts.head}\n`)
      .update(parts.body)
      .digest('hex')
  }
}
