/** Bits in one word of an address. */
export const WORD_BITS = 32

/**
 * Clears the bits of an address's word that lie beyond a prefix.
 *
 * @param word - the word
 * @param wordIndex - which word of the address it is, from 0
 * @param prefixLength - bits of the prefix
 * @returns the word with only the prefix's bits, unsigned
 */
export function maskWord (word: number, wordIndex: number, prefixLength: number): number {
  const prefixBitsInWord = prefixLength - wordIndex * WORD_BITS
  if (prefixBitsInWord <= 0) return 0
  if (prefixBitsInWord >= WORD_BITS) return word
  return (word & (-1 << (WORD_BITS - prefixBitsInWord))) >>> 0
}
