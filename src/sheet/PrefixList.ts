import { maskWord, WORD_BITS } from './maskWord.js'

const INITIAL_CAPACITY = 16

/**
 * Prefixes of one address family and one length, each with a place number, sorted for binary search.
 * A prefix takes four bytes for each 32-bit word that its length spans, at least one word, and two bytes for the place number.
 */
export class PrefixList {
  readonly prefixLength: number
  readonly wordsPerPrefix: number
  #size = 0
  #words: Uint32Array
  #placeNumbers: Uint16Array

  /**
   * @param prefixLength - length of each prefix in bits
   * @param capacity - number of prefixes to allocate at first; the arrays grow beyond it
   */
  constructor (prefixLength: number, capacity = INITIAL_CAPACITY) {
    this.prefixLength = prefixLength
    this.wordsPerPrefix = Math.max(1, Math.ceil(prefixLength / WORD_BITS))
    this.#words = new Uint32Array(capacity * this.wordsPerPrefix)
    this.#placeNumbers = new Uint16Array(capacity)
  }

  /** Number of prefixes. */
  get size (): number {
    return this.#size
  }

  /** Size of the arrays that hold the prefixes, in bytes. */
  get byteLength (): number {
    return this.#words.byteLength + this.#placeNumbers.byteLength
  }

  /**
   * Adds a prefix. {@link PrefixList.finish} must be called after the last one and before any search.
   *
   * @param words - the address, most significant word first; bits beyond the prefix length are cleared
   * @param placeNumber - number of the prefix's place
   */
  add (words: ArrayLike<number>, placeNumber: number): void {
    if (this.#size === this.#placeNumbers.length) this.#resize(Math.max(INITIAL_CAPACITY, this.#size * 2))
    const start = this.#size * this.wordsPerPrefix
    for (let index = 0; index < this.wordsPerPrefix; index++) {
      this.#words[start + index] = maskWord(words[index] ?? 0, index, this.prefixLength)
    }
    this.#placeNumbers[this.#size] = placeNumber
    this.#size++
  }

  /** Sorts the prefixes in place and frees unused capacity. */
  finish (): void {
    if (this.#placeNumbers.length !== this.#size) this.#resize(this.#size)
    if (!this.#isSorted()) this.#sort(0, this.#size - 1)
  }

  /**
   * Finds the prefix that contains an address, by binary search.
   *
   * @param words - the address, most significant word first
   * @returns place number of the prefix, undefined when no prefix contains the address
   */
  findPlaceNumber (words: ArrayLike<number>): number | undefined {
    let low = 0
    let high = this.#size - 1
    while (low <= high) {
      const middle = (low + high) >>> 1
      const comparison = this.#comparePrefix(middle, words)
      if (comparison === 0) return this.#placeNumbers[middle]
      if (comparison < 0) low = middle + 1
      else high = middle - 1
    }
    return undefined
  }

  /** @returns place number of the prefix at a position, from 0 */
  getPlaceNumber (position: number): number {
    return this.#placeNumbers[position]!
  }

  /** @returns words of the prefix at a position, from 0, most significant word first */
  getWords (position: number): Uint32Array {
    return this.#words.subarray(position * this.wordsPerPrefix, (position + 1) * this.wordsPerPrefix)
  }

  #resize (capacity: number): void {
    const words = new Uint32Array(capacity * this.wordsPerPrefix)
    words.set(this.#words.subarray(0, this.#size * this.wordsPerPrefix))
    this.#words = words
    const placeNumbers = new Uint16Array(capacity)
    placeNumbers.set(this.#placeNumbers.subarray(0, this.#size))
    this.#placeNumbers = placeNumbers
  }

  /** Compares the prefix at a position with the same bits of an address: negative when it sorts before, 0 when it contains the address. */
  #comparePrefix (position: number, words: ArrayLike<number>): number {
    const start = position * this.wordsPerPrefix
    for (let index = 0; index < this.wordsPerPrefix; index++) {
      const difference = this.#words[start + index]! - maskWord(words[index]!, index, this.prefixLength)
      if (difference !== 0) return difference
    }
    return 0
  }

  #isSorted (): boolean {
    for (let position = 1; position < this.#size; position++) {
      if (this.#comparePrefix(position - 1, this.getWords(position)) > 0) return false
    }
    return true
  }

  /** Quicksort that recurses only into the smaller part, so that the recursion depth stays logarithmic. */
  #sort (first: number, last: number): void {
    while (first < last) {
      const pivot = this.getWords((first + last) >>> 1).slice()
      let left = first
      let right = last
      while (left <= right) {
        while (this.#comparePrefix(left, pivot) < 0) left++
        while (this.#comparePrefix(right, pivot) > 0) right--
        if (left <= right) this.#swap(left++, right--)
      }
      if (right - first < last - left) {
        this.#sort(first, right)
        first = left
      } else {
        this.#sort(left, last)
        last = right
      }
    }
  }

  #swap (left: number, right: number): void {
    for (let index = 0; index < this.wordsPerPrefix; index++) {
      const leftIndex = left * this.wordsPerPrefix + index
      const rightIndex = right * this.wordsPerPrefix + index
      const word = this.#words[leftIndex]!
      this.#words[leftIndex] = this.#words[rightIndex]!
      this.#words[rightIndex] = word
    }
    const placeNumber = this.#placeNumbers[left]!
    this.#placeNumbers[left] = this.#placeNumbers[right]!
    this.#placeNumbers[right] = placeNumber
  }
}
