import { maskWord, WORD_BITS } from './maskWord.js'

const INITIAL_CAPACITY = 16

/**
 * Prefixes of one address family and one length, each with the number of a place, sorted for binary search.
 * A prefix takes four bytes for each 32 bits of its length, and two for the place.
 */
export class PrefixList {
  readonly prefixLength: number
  readonly wordsPerPrefix: number
  #size = 0
  #words: Uint32Array
  #placeNumbers: Uint16Array

  /**
   * @param prefixLength - bits of each prefix
   * @param capacity - how many prefixes to make room for at first
   */
  constructor (prefixLength: number, capacity = INITIAL_CAPACITY) {
    this.prefixLength = prefixLength
    this.wordsPerPrefix = Math.max(1, Math.ceil(prefixLength / WORD_BITS))
    this.#words = new Uint32Array(capacity * this.wordsPerPrefix)
    this.#placeNumbers = new Uint16Array(capacity)
  }

  get size (): number {
    return this.#size
  }

  /** @returns bytes of the arrays that hold the prefixes */
  get byteLength (): number {
    return this.#words.byteLength + this.#placeNumbers.byteLength
  }

  /**
   * Adds a prefix; {@link PrefixList.finish} must follow before any search.
   *
   * @param words - the address, most significant word first; bits beyond the length are dropped
   * @param placeNumber - number of the place
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

  /** Sorts the prefixes in place and frees unused room. */
  finish (): void {
    if (this.#placeNumbers.length !== this.#size) this.#resize(this.#size)
    if (!this.#isSorted()) this.#sort(0, this.#size - 1)
  }

  /**
   * @param words - an address, most significant word first
   * @returns number of the place of the prefix that holds the address, undefined when there is none
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

  /** @returns number of the place of the prefix at a position */
  getPlaceNumber (position: number): number {
    return this.#placeNumbers[position]!
  }

  /** @returns words of the prefix at a position */
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

  /** Quicksort that recurses into the smaller part only, so that its depth stays logarithmic. */
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
