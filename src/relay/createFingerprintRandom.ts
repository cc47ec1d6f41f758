const HEXADECIMAL_BASE = 16
const DIGITS_PER_NUMBER = 8

/**
 * Creates a generator of numbers that are the same for the same request on every host, so that its copies go the same way.
 *
 * @param fingerprint - digest of the request, hexadecimal
 * @returns a function that returns numbers from 0 (inclusive) to 1 (exclusive)
 */
export function createFingerprintRandom (fingerprint: string): () => number {
  let offset = 0
  return () => {
    const digits = fingerprint.slice(offset, offset + DIGITS_PER_NUMBER)
    offset = (offset + DIGITS_PER_NUMBER) % fingerprint.length
    return parseInt(digits, HEXADECIMAL_BASE) / HEXADECIMAL_BASE ** DIGITS_PER_NUMBER
  }
}
