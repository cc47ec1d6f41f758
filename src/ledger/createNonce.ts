import { randomBytes } from 'node:crypto'

const NONCE_BYTES = 9

/**
 * Creates a text that is never created twice. It does not use the random source that tests control, because two hosts
 * with the same seed would create the same claims.
 *
 * @returns 12 characters of base64url
 */
export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('base64url')
}
