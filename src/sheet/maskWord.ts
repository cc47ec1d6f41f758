/** Number of bits in one word of an address. */
export const WORD_BITS = 32

/**
 * Clears the bits of one word of an address that lie beyond a prefix.
 *
 * @param word - the word, unsigned
 * @param wordIndex - index of the word in the address, from 0 for the most significant one
 * @param prefixLength - length of the prefix in bits
 * @returns the word with only the bits of the prefix, unsigned
 */
export function maskWord (word: number, wordIndex: number, prefixLength: number): number {
  const prefixBitsInWord = prefixLength - wordIndex * WORD_BITS
  if (prefixBitsInWord <= 0) return 0
  if (prefixBitsInWord >= WORD_BITS) return word
  return (word & (-1 << (WORD_BITS - prefixBitsInWord))) >>> 0
}
