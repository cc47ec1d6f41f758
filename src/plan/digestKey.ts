import { createHash } from 'node:crypto'

/** Length of a digest: 128 bits exclude collisions, and a plan has hundreds of digests. */
const DIGEST_BYTES = 16

/**
 * Digests the key of a client account. Hosts exchange and compare digests, so that a plan reveals no key, and the time of a
 * lookup depends on nothing that a guest can choose.
 *
 * @param key - key as the guest sends it
 * @returns its digest
 */
export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest().subarray(0, DIGEST_BYTES).toString('base64url')
}
