const HEXADECIMAL_BASE = 16
const DIGITS_PER_NUMBER = 8

/**
 * Gives the same numbers for the same request on every host, so that copies of it are sent the same way.
 *
 * @param fingerprint - digest of the request, hexadecimal
 * @returns gives numbers from 0 up to 1
 */
export function createFingerprintRandom (fingerprint: string): () => number {
  let offset = 0
  return () => {
    const digits = fingerprint.slice(offset, offset + DIGITS_PER_NUMBER)
    offset = (offset + DIGITS_PER_NUMBER) % fingerprint.length
    return parseInt(digits, HEXADECIMAL_BASE) / HEXADECIMAL_BASE ** DIGITS_PER_NUMBER
  }
}
