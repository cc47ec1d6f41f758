import { AsyncLocalStorage } from 'node:async_hooks'
import type { TestContext } from 'node:test'
import { PeerCallError } from '../../../src/errors/PeerCallError.js'
import type { CallPeer } from '../../../src/transport/CallPeer.js'
import type { PeerHandler } from '../../../src/transport/PeerHandler.js'
import type { PeerMethod } from '../../../src/types/PeerMethod.js'
import type { SheetCluster } from './SheetCluster.js'

const MAXIMUM_RUN_MILLISECONDS = 320
const TRANSIT_MILLISECONDS = 2
/** The process that forwards all messages between the hosts. */
const FORWARDER = 'forwarder'

type Handlers = Map<PeerMethod, PeerHandler<object, unknown>>

interface LateProcess {
  isStalled: boolean
  /** Messages and timers that wait for the end of the stall. */
  messages: Array<() => void>
  timers: Array<() => void>
}

/**
 * Processes on a busy machine: each host of a cluster, and the process that forwards the messages between them, runs and stalls by
 * turns for drawn times. Whatever arrives in a stall, messages and ends of disk writes included, waits for its end, and so do timers.
 */
export class LateHosts {
  readonly #currentAddress = new AsyncLocalStorage<string | undefined>()
  readonly #processes = new Map<string, LateProcess>()
  readonly #handlersByAddress = new Map<string, Handlers>()
  readonly #random: () => number
  readonly #meanStallMilliseconds: number
  readonly #setTimeout = globalThis.setTimeout
  readonly #cancelledTimers = new WeakSet<object>()
  readonly #timerDelays: number[] = []

  /**
   * @param context - the test, whose clock is paused already
   * @param cluster - cluster without hosts so far; their timers and calls are late from now on
   * @param meanStallMilliseconds - mean duration of a stall
   */
  constructor (context: TestContext, cluster: SheetCluster, meanStallMilliseconds: number) {
    this.#random = cluster.random
    this.#meanStallMilliseconds = meanStallMilliseconds
    this.#replaceTimers(context)
    cluster.network.addHost = (address) => this.#connect(address)
    this.#startProcess(FORWARDER)
  }

  /** Runs a function as a part of the process of a host. */
  runAt<Result> (address: string, run: () => Result): Result {
    return this.#currentAddress.run(address, run)
  }

  /** @returns how late the timers of the hosts fired, in milliseconds, at a percentile from 0 to 100 */
  measureLateness (percentile: number): number {
    const sorted = this.#timerDelays.toSorted((left, right) => left - right)
    return sorted[Math.floor((sorted.length - 1) * percentile / 100)] ?? 0
  }

  #connect (address: string): { callPeer: CallPeer, registerHandler: (method: PeerMethod, handler: PeerHandler<never, unknown>) => void } {
    const handlers: Handlers = new Map()
    this.#handlersByAddress.set(address, handlers)
    this.#startProcess(address)
    return {
      callPeer: (to, method, parameters, timeout) => this.#call(address, to, method, parameters, timeout),
      registerHandler: (method, handler) => { handlers.set(method, handler as PeerHandler<object, unknown>) }
    }
  }

  #call<Result> (from: string, to: string, method: PeerMethod, parameters: object, timeout: number): Promise<Result> {
    const text = JSON.stringify(parameters)
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => { reject(new PeerCallError('timeout', to, false)) }, timeout)
      const answer = (settle: () => void): void => {
        this.#send(to, from, () => {
          clearTimeout(timer)
          settle()
        })
      }
      this.#send(from, to, () => {
        this.#handle(to, method, text).then((result) => { answer(() => { resolve(result as Result) }) }, (error) => { answer(() => { reject(new PeerCallError(String(error), to, true, error)) }) })
      })
    })
  }

  async #handle (to: string, method: PeerMethod, text: string): Promise<unknown> {
    const result = await this.#handlersByAddress.get(to)?.get(method)?.(JSON.parse(text) as object)
    return JSON.parse(JSON.stringify(result ?? null)) as unknown
  }

  /** Sends a message through the forwarder; a host reaches itself at once. */
  #send (from: string, to: string, receive: () => void): void {
    if (from === to) {
      receive()
      return
    }
    this.#later(() => {
      this.#deliver(FORWARDER, () => { this.#later(() => { this.#deliver(to, receive) }, TRANSIT_MILLISECONDS) })
    }, TRANSIT_MILLISECONDS)
  }

  #deliver (address: string, receive: () => void): void {
    const process = this.#processes.get(address)
    const run = (): void => { this.runAt(address, receive) }
    if (process?.isStalled === true) process.messages.push(run)
    else run()
  }

  #startProcess (address: string): void {
    const process: LateProcess = { isStalled: false, messages: [], timers: [] }
    this.#processes.set(address, process)
    const stall = (): void => {
      process.isStalled = true
      this.#later(resume, -Math.log(1 - this.#random()) * this.#meanStallMilliseconds)
    }
    const resume = (): void => {
      process.isStalled = false
      for (const run of [...process.messages.splice(0), ...process.timers.splice(0)]) run()
      this.#later(stall, this.#random() * MAXIMUM_RUN_MILLISECONDS)
    }
    this.#later(stall, this.#random() * MAXIMUM_RUN_MILLISECONDS)
  }

  /** Runs a function on the paused clock, whoever stalls. */
  #later (run: () => void, milliseconds: number): void {
    this.#currentAddress.exit(() => { this.#setTimeout(run, milliseconds) })
  }

  #replaceTimers (context: TestContext): void {
    const { setTimeout: original, clearTimeout: originalClear } = globalThis
    const late = (run: () => void, milliseconds?: number): NodeJS.Timeout => {
      const address = this.#currentAddress.getStore()
      const process = this.#processes.get(address ?? '')
      if (address === undefined || process === undefined) return original(run, milliseconds)
      const timer: NodeJS.Timeout = original(() => {
        const dueAt = performance.now()
        const fire = (): void => {
          if (this.#cancelledTimers.has(timer)) return
          this.#timerDelays.push(performance.now() - dueAt)
          this.runAt(address, run)
        }
        if (process.isStalled) process.timers.push(fire)
        else fire()
      }, milliseconds)
      return timer
    }
    globalThis.setTimeout = late as typeof setTimeout
    globalThis.clearTimeout = ((timer?: NodeJS.Timeout) => {
      if (timer !== undefined && timer !== null) this.#cancelledTimers.add(timer)
      originalClear(timer)
    }) as typeof clearTimeout
    context.after(() => { Object.assign(globalThis, { setTimeout: original, clearTimeout: originalClear }) })
  }
}
