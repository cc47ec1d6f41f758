import { EventEmitter, once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { Draw } from './Draw.js'
import { drawChange, drawFault, INITIAL_PLAN } from './drawPlan.js'
import { encodePlan, type SoakPlan } from './SoakPlan.js'
import type { Attempt, EvacuationOrder, PlanOrder, SoakRecord } from './SoakRecord.js'
import { sendOrder } from './sendOrder.js'
import { CONTROL_HOSTS, DOMAINS, type SoakSystem } from './SoakSystem.js'
import { Leave, type UpstreamLife } from './UpstreamLife.js'

const ANSWER_MILLISECONDS = 1_000
const RETRY_MILLISECONDS = 100
/** Time after which the operator reads the plan instead of sending an order again. */
const GIVE_UP_MILLISECONDS = 25_000
const LONGEST_PAUSE_MILLISECONDS = 700

/** What the operator does next. */
enum Step {
  Change = 'change',
  Race = 'race',
  Invalid = 'invalid',
  Resend = 'resend',
  Evacuate = 'evacuate',
  Leave = 'leave'
}

const STEP_WEIGHTS: ReadonlyArray<readonly [Step, number]> = [[Step.Change, 10], [Step.Race, 3], [Step.Invalid, 2], [Step.Resend, 3], [Step.Evacuate, 2], [Step.Leave, 2]]

/** Sends a stream of changes to control hosts, one after another, and each again until it has a clear answer. Emits `acknowledged`. */
export class SoakOperator extends EventEmitter {
  readonly #system: SoakSystem
  readonly #record: SoakRecord
  readonly #upstreams: readonly UpstreamLife[]
  readonly #draw: Draw
  readonly #adaptPlan: (draw: Draw, plan: SoakPlan) => SoakPlan
  #current: PlanOrder | undefined
  #evacuated: string | undefined
  #isStopping = false

  /**
   * @param system - the control hosts
   * @param record - receives the orders
   * @param upstreams - lives of upstreams that it lets end
   * @param seed - seed of the run
   * @param adaptPlan - changes each plan that is drawn
   */
  constructor (system: SoakSystem, record: SoakRecord, upstreams: readonly UpstreamLife[], seed: number, adaptPlan: (draw: Draw, plan: SoakPlan) => SoakPlan) {
    super()
    this.#adaptPlan = adaptPlan
    this.#upstreams = upstreams
    this.#system = system
    this.#record = record
    this.#draw = new Draw(seed, 1)
  }

  /** Sends orders until it is stopped. */
  async run (): Promise<void> {
    await this.#submit(this.#adaptPlan(this.#draw, INITIAL_PLAN), true)
    while (!this.#isStopping) {
      await sleep(this.#draw.between(0, LONGEST_PAUSE_MILLISECONDS))
      if (this.#current === undefined) await this.#readCurrent()
      if (this.#current !== undefined) await this.#runStep(this.#draw.pickWeighted(STEP_WEIGHTS), this.#current)
    }
  }

  /** Makes the present step the last one. */
  stop (): void {
    this.#isStopping = true
  }

  /** Waits for the next acknowledgement, for a limited time. */
  async waitForAcknowledgement (milliseconds: number): Promise<void> {
    // Without an acknowledgement in time the caller goes on, too.
    await once(this, 'acknowledged', { signal: AbortSignal.timeout(milliseconds) }).catch(() => {})
  }

  async #runStep (step: Step, current: PlanOrder): Promise<void> {
    switch (step) {
      case Step.Change: return await this.#submit(this.#drawChange(current), true)
      case Step.Invalid: return await this.#submit(drawFault(this.#draw, this.#drawChange(current)), false)
      case Step.Resend: return await this.#trySending(current)
      case Step.Evacuate: return await this.#evacuate()
      case Step.Leave: return await this.#letLeave()
      case Step.Race: {
        const rivals = [this.#drawChange(current), this.#drawChange(current)]
        await Promise.all(rivals.map((plan) => this.#submit(plan, true)))
      }
    }
  }

  #drawChange ({ plan }: PlanOrder): SoakPlan {
    return this.#adaptPlan(this.#draw, drawChange(this.#draw, plan))
  }

  async #submit (plan: SoakPlan, isValid: boolean): Promise<void> {
    const order: PlanOrder = { id: this.#record.orders.length, plan, body: encodePlan(plan), isValid, attempts: [] }
    this.#record.orders.push(order)
    await this.#sendUntilClear('/config/replace', order.body, order.attempts)
    const status = order.attempts.at(-1)?.status
    if (status === 200) this.#current = order
    else if (status === undefined || status >= 500) this.#current = undefined
    // Without a rival a valid order is refused only after the operator lost sight of the newest plan.
    else if (isValid && this.#current?.plan.version === plan.base) this.#current = undefined
  }

  async #trySending (order: PlanOrder): Promise<void> {
    order.attempts.push(await this.#send('/config/replace', order.body))
  }

  async #evacuate (): Promise<void> {
    const domain = this.#evacuated ?? this.#draw.pick(DOMAINS)
    const isEvacuated = this.#evacuated === undefined
    const order: EvacuationOrder = { domain, isEvacuated, attempts: [] }
    this.#record.evacuations.push(order)
    await this.#sendUntilClear(`/evacuations/${domain}/${isEvacuated ? 'begin' : 'finish'}`, '', order.attempts)
    this.#evacuated = isEvacuated ? domain : undefined
  }

  async #letLeave (): Promise<void> {
    const departure = await this.#draw.pick(this.#upstreams).leave(this.#draw.pick(Object.values(Leave)))
    if (departure === undefined) return
    this.#record.departures.push(departure)
    this.emit('acknowledged')
  }

  async #sendUntilClear (path: string, body: string, attempts: Attempt[]): Promise<void> {
    const deadline = performance.now() + GIVE_UP_MILLISECONDS
    while (performance.now() < deadline) {
      const isLost = this.#draw.chance(0.12)
      const attempt = await this.#send(path, body, isLost ? this.#draw.between(0, 30) : ANSWER_MILLISECONDS)
      attempts.push(attempt)
      if (attempt.status === 200) this.emit('acknowledged')
      if (attempt.status !== undefined && attempt.status < 500) return
      await sleep(RETRY_MILLISECONDS)
    }
  }

  async #send (path: string, body: string, milliseconds = ANSWER_MILLISECONDS): Promise<Attempt> {
    const controlHost = this.#draw.index(CONTROL_HOSTS)
    const { text, ...attempt } = await sendOrder({ address: this.#system.getControlAddress(controlHost), controlHost, method: 'POST', path, body, milliseconds })
    return attempt
  }

  async #readCurrent (): Promise<void> {
    const controlHost = this.#draw.index(CONTROL_HOSTS)
    const { status, text } = await sendOrder({ address: this.#system.getControlAddress(controlHost), controlHost, method: 'GET', path: '/config/fetch', body: '', milliseconds: ANSWER_MILLISECONDS })
    if (status === 200) this.#current = this.#record.orders.find(({ body }) => body === text)
  }
}
