import { getHeapStatistics } from 'node:v8'
import { Step } from '../types/Step.js'
import type { HostMemory } from '../limits/HostMemory.js'
import type { Counters } from './Counters.js'
import type { Log } from './Log.js'

const CHECK_INTERVAL_MILLISECONDS = 250
/** Part of the heap limit from which the use is logged: the runtime ends the process at the limit, without a line of its own. */
const LOG_THRESHOLD = 0.7
/** Minimum time between two such lines. */
const LOG_INTERVAL_MILLISECONDS = 2_000
const HEAP_GAUGE = 'memory.heap-bytes'
const HEAP_LIMIT_GAUGE = 'memory.heap-limit-bytes'
const EXTERNAL_GAUGE = 'memory.external-bytes'
const HELD_GAUGE = 'memory.held-bytes'
const CONNECTION_GAUGE = 'memory.connection-bytes'
const CLOSED_GAUGE = 'connections.closed-for-memory'

/**
 * Watches the memory of the process. Bytes outside the heap beside a full heap tell buffers from objects, and the bytes that
 * the bounds on messages count tell whether these bounds are what fills them.
 */
export class MemoryMonitor {
  readonly #log: Log
  readonly #counters: Counters
  readonly #memory: Pick<HostMemory, 'heldBytes' | 'connections'>
  #lastLoggedAt = Number.NEGATIVE_INFINITY
  #timer: NodeJS.Timeout | undefined

  /**
   * @param log - receives a warning while the heap is nearly full
   * @param counters - receives heap, heap limit, memory outside the heap and held bytes as gauges, in bytes
   * @param memory - what messages and connections hold by the count of their bounds
   */
  constructor (log: Log, counters: Counters, memory: Pick<HostMemory, 'heldBytes' | 'connections'>) {
    this.#log = log
    this.#counters = counters
    this.#memory = memory
  }

  start (): void {
    this.#timer = setInterval(() => { this.#check() }, CHECK_INTERVAL_MILLISECONDS).unref()
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  #check (): void {
    const { used_heap_size: heap, heap_size_limit: limit, external_memory: external } = getHeapStatistics()
    const { heldBytes: held, connections } = this.#memory
    this.#counters.gauge(CONNECTION_GAUGE, connections.heldBytes)
    this.#counters.gauge(CLOSED_GAUGE, connections.closed)
    this.#counters.gauge(HEAP_GAUGE, heap)
    this.#counters.gauge(HEAP_LIMIT_GAUGE, limit)
    this.#counters.gauge(EXTERNAL_GAUGE, external)
    this.#counters.gauge(HELD_GAUGE, held)
    const now = performance.now()
    if (heap < LOG_THRESHOLD * limit || now - this.#lastLoggedAt < LOG_INTERVAL_MILLISECONDS) return
    this.#lastLoggedAt = now
    this.#log.warn('heap-nearly-full', { step: Step.Ingress, heap, limit, external, held })
  }
}
