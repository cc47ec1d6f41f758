const BIN_MILLISECONDS = 100
const BINS_PER_SECOND = 10

/** Counts bytes over time in bins of a tenth of a second, by the monotonic clock. */
export class ByteMeter {
  readonly #bins = new Map<number, number>()

  /** @param bytes - number of bytes to record at the current time */
  add (bytes: number): void {
    const bin = Math.floor(performance.now() / BIN_MILLISECONDS)
    this.#bins.set(bin, (this.#bins.get(bin) ?? 0) + bytes)
  }

  /** Number of all recorded bytes. */
  get total (): number {
    return [...this.#bins.values()].reduce((sum, bytes) => sum + bytes, 0)
  }

  /**
   * @param meters - meters of one link
   * @returns the largest number of bytes that all meters together recorded within one second
   */
  static maximumBytesPerSecond (meters: ByteMeter[]): number {
    const bytesByBin = new Map<number, number>()
    for (const [bin, bytes] of meters.flatMap((meter) => [...meter.#bins])) bytesByBin.set(bin, (bytesByBin.get(bin) ?? 0) + bytes)
    const sumSecondFrom = (firstBin: number): number => Array.from({ length: BINS_PER_SECOND }, (_, index) => bytesByBin.get(firstBin + index) ?? 0).reduce((sum, bytes) => sum + bytes)
    return Math.max(0, ...[...bytesByBin.keys()].map(sumSecondFrom))
  }
}
