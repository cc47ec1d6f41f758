/** Receives counts and gauges, for example to send them to a collector. */
export interface MetricSink {
  increment (name: string, by: number): void
  gauge (name: string, value: number): void
}

/** Counters and gauges by name, readable in this process and forwarded to a metric sink. */
export class Counters {
  readonly #counts = new Map<string, number>()
  readonly #sink: MetricSink | undefined

  /** @param sink - also receives every count and gauge */
  constructor (sink?: MetricSink) {
    this.#sink = sink
  }

  /**
   * Makes a counter appear with the value 0 before its first event.
   *
   * @param name - name of the counter
   */
  declare (name: string): void {
    if (!this.#counts.has(name)) this.#counts.set(name, 0)
  }

  /**
   * Increases a counter.
   *
   * @param name - name of the counter
   * @param by - amount of the increase, by default 1
   */
  increment (name: string, by = 1): void {
    this.#counts.set(name, this.read(name) + by)
    this.#sink?.increment(name, by)
  }

  /**
   * Sets a gauge to its current value.
   *
   * @param name - name of the gauge
   * @param value - current value
   */
  gauge (name: string, value: number): void {
    this.#counts.set(name, value)
    this.#sink?.gauge(name, value)
  }

  /**
   * @param name - name of a counter or gauge
   * @returns its current value, 0 if it was never set
   */
  read (name: string): number {
    return this.#counts.get(name) ?? 0
  }

  /** @returns the values of all counters and gauges, sorted by name */
  snapshot (): Record<string, number> {
    return Object.fromEntries([...this.#counts].sort(([left], [right]) => left < right ? -1 : 1))
  }
}
