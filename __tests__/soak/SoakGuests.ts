import { setTimeout as sleep } from 'node:timers/promises'
import { sendGuestRequest } from '../../examples/platform/httpCalls.js'
import { Draw } from './Draw.js'
import { listPlainRoutes, SOUND_PREFIX } from './raw/rawRoutes.js'
import { NO_ROUTE } from './SoakPlan.js'
import type { GuestObservation, SoakRecord } from './SoakRecord.js'
import { sendOrder } from './sendOrder.js'
import { CONTROL_HOSTS, type SoakSystem } from './SoakSystem.js'

const REQUEST_MILLISECONDS = 80
const READ_MILLISECONDS = 150
const ANSWER_MILLISECONDS = 5_000
/** Newest orders whose routes guests ask for. */
const PROBED_ORDERS = 5

/** Sends requests to all entry hosts and reads of the plan to all control hosts. */
export class SoakGuests {
  readonly #system: SoakSystem
  readonly #record: SoakRecord
  readonly #draw: Draw
  readonly #isWithSound: boolean
  #attempts = 0
  #isStopping = false

  /**
   * @param system - the hosts
   * @param record - receives what guests see
   * @param seed - seed of the run
   * @param isWithSound - whether half of them ask for upstreams that do nothing wrong
   */
  constructor (system: SoakSystem, record: SoakRecord, seed: number, isWithSound: boolean) {
    this.#isWithSound = isWithSound
    this.#system = system
    this.#record = record
    this.#draw = new Draw(seed, 2)
  }

  /** Sends requests and reads until it is stopped. */
  async run (): Promise<void> {
    await Promise.all([
      ...this.#system.entryHosts.map((_, entryHost) => this.#repeat(REQUEST_MILLISECONDS, () => { this.send(entryHost, this.#drawPath()).catch(() => {}) })),
      this.#repeat(READ_MILLISECONDS, () => { this.#read().catch(() => {}) })
    ])
  }

  /** Makes the present requests the last ones. */
  stop (): void {
    this.#isStopping = true
  }

  /**
   * @param entryHost - number of the entry host
   * @param prefix - path prefix of the route to ask for
   * @returns how the request was handled
   */
  async send (entryHost: number, prefix: string): Promise<GuestObservation> {
    const host = this.#system.entryHosts[entryHost]!
    const run = host.runs
    const path = `${prefix}by-${entryHost}/`
    const sentAt = performance.now()
    const timeout = sleep(ANSWER_MILLISECONDS, undefined, { ref: false })
    const answer = await Promise.race([sendGuestRequest(this.#system.getGuestAddress(entryHost), path, `a-${++this.#attempts}`).catch(() => undefined), timeout])
    const handling = host.runs === run ? readHandling(answer) : undefined
    const observation = { entryHost, run, path, sentAt, answeredAt: performance.now(), handling }
    this.#record.observations.push(observation)
    return observation
  }

  async #repeat (milliseconds: number, act: () => void): Promise<void> {
    while (!this.#isStopping) {
      act()
      await sleep(milliseconds)
    }
  }

  /** Routes that were just added, moved or removed, or that no plan in force may have. */
  #drawPath (): string {
    if (this.#isWithSound && this.#draw.chance(0.5)) return SOUND_PREFIX
    if (this.#draw.chance(0.2)) return '/base/'
    const routes = this.#record.orders.slice(-PROBED_ORDERS).flatMap(({ plan }) => listPlainRoutes(plan).slice(1))
    return routes.length === 0 ? '/base/' : this.#draw.pick(routes).prefix
  }

  async #read (): Promise<void> {
    const controlHost = this.#draw.index(CONTROL_HOSTS)
    const { sentAt, endedAt, status, text } = await sendOrder({ address: this.#system.getControlAddress(controlHost), controlHost, method: 'GET', path: '/config/fetch', body: '', milliseconds: ANSWER_MILLISECONDS })
    this.#record.reads.push({ controlHost, sentAt, answeredAt: endedAt, status, text })
  }
}

function readHandling (answer: { status: number, text: string } | undefined | void): string | undefined {
  if (!answer) return undefined
  if (answer.status === 404) return NO_ROUTE
  return answer.status === 200 ? answer.text : undefined
}
