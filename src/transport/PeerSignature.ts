import { createHmac, timingSafeEqual } from 'node:crypto'

/** Header that carries the proof that a call comes from a host of this system. */
export const SIGNATURE_HEADER = 'hibiscusrelay-signature'

const MAXIMUM_AGE_MILLISECONDS = 60_000

/** What a signature covers besides the time. */
export interface SignedParts {
  path: string
  head: string
  body: Buffer | string
}

/** Signs calls between hosts with their shared key and checks such signatures. */
export class PeerSignature {
  readonly #key: string

  /** @param key - the key that all hosts share */
  constructor (key: string) {
    this.#key = key
  }

  /**
   * @param parts - what the signature covers
   * @returns value of the signature header
   */
  sign (parts: SignedParts): string {
    const signedAt = Date.now()
    return `${signedAt}.${this.#computeDigest(signedAt, parts)}`
  }

  /**
   * @param signature - value of the signature header
   * @param parts - what it must cover
   * @returns whether a holder of the key made it lately
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
