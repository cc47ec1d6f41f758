/** Settings of a simulated upstream. */
export interface ModelUpstreamSettings {
  slots: number
  /** Maximum number of waiting requests; further ones are shed. */
  queueLength: number
  /** Maximum number of objects that it remembers; the least recently used one is evicted. */
  warmObjects: number
  /** Run time on a remembered object, as a fraction of the run time on another one. */
  warmTimeFactor: number
}

/** One run requested from a simulated upstream. */
export interface ModelWork {
  objectKey: string
  /** Run time on an object that is not remembered. */
  coldMilliseconds: number
  /** Called at the end of the run; `wasWarm` if the object was remembered. */
  onEnd: (wasWarm: boolean) => void
  /** Called when the work is shed. */
  onShed: () => void
}

/** A simulated upstream with slots, a queue and a memory of recently used objects. */
export class ModelUpstream {
  running = 0
  readonly #settings: ModelUpstreamSettings
  readonly #waiting: ModelWork[] = []
  readonly #warmObjectKeys = new Set<string>()
  /** Fraction of the work that it sheds although it has free capacity. */
  shedFraction = 0

  /** @param settings - slots, queue and memory of objects */
  constructor (settings: ModelUpstreamSettings) {
    this.#settings = settings
  }

  get waiting (): number {
    return this.#waiting.length
  }

  get slots (): number {
    return this.#settings.slots
  }

  /** Forgets all objects, as after a restart. */
  forgetObjects (): void {
    this.#warmObjectKeys.clear()
  }

  /**
   * Runs, queues or sheds work.
   *
   * @param work - work whose callbacks report the outcome
   * @param randomNumber - number from 0 up to but not including 1; below the shed fraction, the work is shed
   */
  accept (work: ModelWork, randomNumber: number): void {
    if (randomNumber < this.shedFraction) return work.onShed()
    if (this.running < this.#settings.slots) return this.#run(work)
    if (this.#waiting.length >= this.#settings.queueLength) return work.onShed()
    this.#waiting.push(work)
  }

  /** Removes work from the queue, as after its request is aborted. Running work goes on. */
  discard (work: ModelWork): void {
    const index = this.#waiting.indexOf(work)
    if (index >= 0) this.#waiting.splice(index, 1)
  }

  #run (work: ModelWork): void {
    this.running += 1
    const wasWarm = this.#warmObjectKeys.has(work.objectKey)
    // In the logs of the users' days, a run that starts while the first run on its object is still running is warm already.
    this.#markWarm(work.objectKey)
    setTimeout(() => {
      this.running -= 1
      work.onEnd(wasWarm)
      const next = this.#waiting.shift()
      if (next !== undefined) this.#run(next)
    }, work.coldMilliseconds * (wasWarm ? this.#settings.warmTimeFactor : 1))
  }

  #markWarm (objectKey: string): void {
    this.#warmObjectKeys.delete(objectKey)
    this.#warmObjectKeys.add(objectKey)
    if (this.#warmObjectKeys.size <= this.#settings.warmObjects) return
    const [oldest] = this.#warmObjectKeys
    this.#warmObjectKeys.delete(oldest!)
  }
}
