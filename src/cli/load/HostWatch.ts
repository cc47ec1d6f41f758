import { setTimeout as sleep } from 'node:timers/promises'
import type { HostStatus } from '../../daemon/describeStatus.js'
import type { OperatorClient } from '../OperatorClient.js'
import type { DrainOrder } from './DrainOrder.js'
import type { DrainSummary } from './DrainSummary.js'
import { DrainTally } from './DrainTally.js'
import type { HeadroomSummary } from './HeadroomSummary.js'
import { HeadroomTally } from './HeadroomTally.js'
import { orderDrain } from './orderDrain.js'
import type { ScheduleEntry } from './ScheduleEntry.js'

const SAMPLE_INTERVAL_MILLISECONDS = 500

/** Samples the status of hosts during a load run, and orders the drains of its schedule. */
export class HostWatch {
  readonly #clients: OperatorClient[]
  readonly #startedAt = performance.now()
  readonly #stopController = new AbortController()
  readonly #headroomTally = new HeadroomTally()
  readonly #drainTally = new DrainTally()
  readonly #tasks: Array<Promise<void>>

  /**
   * Starts sampling immediately.
   *
   * @param clients - operator interfaces of the hosts
   * @param schedule - changes during the run, of which only the drains are used
   */
  constructor (clients: OperatorClient[], schedule: ScheduleEntry[]) {
    this.#clients = clients
    const orders = schedule.flatMap(({ atSeconds, drain }) => drain === undefined ? [] : [this.#orderDrainAt(atSeconds, drain)])
    this.#tasks = [this.#samplePeriodically(), ...orders]
  }

  /**
   * Takes a last sample, and abandons drains that were not ordered yet.
   *
   * @returns the figures of the run
   */
  async stop (): Promise<{ headroom: HeadroomSummary, drains: DrainSummary[] }> {
    this.#stopController.abort()
    await Promise.all(this.#tasks)
    return { headroom: this.#headroomTally.summarize(), drains: this.#drainTally.summarize() }
  }

  async #samplePeriodically (): Promise<void> {
    while (!this.#stopController.signal.aborted) {
      await this.#takeSample()
      await this.#pause(SAMPLE_INTERVAL_MILLISECONDS)
    }
    await this.#takeSample()
  }

  async #takeSample (): Promise<void> {
    const answers = await Promise.all(this.#clients.map(async (client) => await client.get<HostStatus>('/v1/status').catch(() => undefined)))
    const statuses = answers.flatMap((answer) => answer?.status === 200 ? [answer.body] : [])
    const sample = { atMilliseconds: performance.now() - this.#startedAt, statuses, missingStatuses: answers.length - statuses.length }
    this.#headroomTally.add(sample)
    this.#drainTally.add(sample)
  }

  async #orderDrainAt (atSeconds: number, order: DrainOrder): Promise<void> {
    await this.#pause(atSeconds * 1000)
    if (this.#stopController.signal.aborted) return
    const atMilliseconds = performance.now() - this.#startedAt
    try {
      const { domain } = await orderDrain(this.#clients, order)
      this.#drainTally.recordOrder({ ...order, atMilliseconds, ...domain === undefined ? {} : { domain } })
    } catch (error) {
      this.#drainTally.recordOrder({ ...order, atMilliseconds, failure: String(error) })
    }
  }

  async #pause (milliseconds: number): Promise<void> {
    await sleep(milliseconds, undefined, { signal: this.#stopController.signal }).catch(() => {})
  }
}
