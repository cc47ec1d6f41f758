import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { ScriptedExchange } from '../../__tests__/support/ScriptedConnections.js'

/** Work takes this much longer on a machine while others use it. */
const SLOW_FACTOR = 2.5
const SLOW_FRACTION = 0.15
const EPOCH_MILLISECONDS = 600
/** Number of objects that an upstream remembers. */
const WARM_OBJECTS = 24
const WARM_TIME_FACTOR = 0.3

/** A machine that several upstreams share; work on it is slow at times. */
export class NoisyMachine {
  readonly #isSlowByEpoch: boolean[] = []
  readonly #random: () => number
  /** @returns factor of the time of all work at a time */
  readonly #loadFactor: (now: number) => number

  constructor (seed: number, loadFactor: (now: number) => number) {
    const generator = xoroshiro128plus(seed)
    this.#random = () => uniformFloat64(generator)
    this.#loadFactor = loadFactor
  }

  /** @returns how long work takes at a time, as a multiple of its usual time */
  getFactor (now: number): number {
    const epoch = Math.floor(now / EPOCH_MILLISECONDS)
    while (this.#isSlowByEpoch.length <= epoch) this.#isSlowByEpoch.push(this.#random() < SLOW_FRACTION)
    return (this.#isSlowByEpoch[epoch]! ? SLOW_FACTOR : 1) * this.#loadFactor(now)
  }

  /** @returns time in which work that begins now ends, in milliseconds */
  measureRun (now: number, workMilliseconds: number): number {
    let remaining = workMilliseconds
    let at = now
    for (;;) {
      const epochEnd = (Math.floor(at / EPOCH_MILLISECONDS) + 1) * EPOCH_MILLISECONDS
      const factor = this.getFactor(at)
      const needed = remaining * factor
      if (at + needed <= epochEnd) return at + needed - now
      remaining -= (epochEnd - at) / factor
      at = epochEnd
    }
  }
}

/** A simulated upstream on a shared machine, with slots, a queue and a memory of recently used objects. It frees the slot of a closed connection. */
export class NoisyUpstream {
  running = 0
  readonly #machine: NoisyMachine
  readonly #slots: number
  readonly #waiting: Array<() => void> = []
  readonly #warmObjects = new Set<string>()
  /** Factor of the time of its work; above 1 for an upstream that is slow without reporting it. */
  readonly #ownFactor: number

  constructor (machine: NoisyMachine, slots: number, ownFactor: number) {
    this.#machine = machine
    this.#slots = slots
    this.#ownFactor = ownFactor
  }

  /**
   * Runs or queues a request.
   *
   * @param exchange - the request
   * @param workMilliseconds - time of its work where the object is not remembered
   */
  accept (exchange: ScriptedExchange, workMilliseconds: number): void {
    const run = (): void => { this.#run(exchange, workMilliseconds) }
    exchange.onAbort = () => { if (this.#waiting.includes(run)) this.#waiting.splice(this.#waiting.indexOf(run), 1) }
    if (this.running < this.#slots) run()
    else this.#waiting.push(run)
  }

  #run (exchange: ScriptedExchange, workMilliseconds: number): void {
    this.running += 1
    const factor = this.#ownFactor * (this.#warmObjects.has(exchange.path) ? WARM_TIME_FACTOR : 1)
    this.#remember(exchange.path)
    const end = (): void => {
      clearTimeout(timer)
      exchange.onAbort = () => {}
      this.running -= 1
      this.#waiting.shift()?.()
    }
    const timer = setTimeout(() => {
      end()
      exchange.respond('', { 'server-load': `${this.running},${this.#waiting.length},${this.#slots},${Math.round(100 * this.#machine.getFactor(performance.now()))}` })
    }, this.#machine.measureRun(performance.now(), workMilliseconds * factor))
    exchange.onAbort = end
  }

  #remember (object: string): void {
    this.#warmObjects.delete(object)
    this.#warmObjects.add(object)
    const [oldest] = this.#warmObjects
    if (this.#warmObjects.size > WARM_OBJECTS) this.#warmObjects.delete(oldest!)
  }
}
