/** How an upstream of the model works. */
export interface ModelUpstreamSettings {
  slots: number
  /** Requests that may wait; more are shed. */
  queueLength: number
  /** Objects that it remembers. */
  warmObjects: number
  /** Part of its time that work takes on a remembered object. */
  warmTimeFactor: number
}

/** Work that an upstream of the model is asked to do. */
export interface ModelWork {
  objectKey: string
  /** Time of the run on an object that is not remembered, in milliseconds. */
  coldMilliseconds: number
  /** Called when the run ends. */
  onEnd: (wasWarm: boolean) => void
  /** Called when the work is shed. */
  onShed: () => void
}

/** Slots, a queue and a memory of objects. */
export class ModelUpstream {
  running = 0
  readonly #settings: ModelUpstreamSettings
  readonly #waiting: ModelWork[] = []
  readonly #warmObjectKeys = new Set<string>()
  /** Part of the work that it sheds although it has room. */
  shedFraction = 0

  /** @param settings - slots and memory */
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
   * Takes work in, or sheds it.
   *
   * @param work - the work
   * @param randomNumber - a number from 0 up to but not including 1
   */
  accept (work: ModelWork, randomNumber: number): void {
    if (randomNumber < this.shedFraction) return work.onShed()
    if (this.running < this.#settings.slots) return this.#run(work)
    if (this.#waiting.length >= this.#settings.queueLength) return work.onShed()
    this.#waiting.push(work)
  }

  /** Lets go of work that waits, as after its guest went away. */
  discard (work: ModelWork): void {
    const index = this.#waiting.indexOf(work)
    if (index >= 0) this.#waiting.splice(index, 1)
  }

  #run (work: ModelWork): void {
    this.running += 1
    const wasWarm = this.#warmObjectKeys.has(work.objectKey)
    // In the logs of the users' days, runs that start beside the first one on an object are warm already.
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
