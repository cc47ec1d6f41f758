import assert from 'node:assert/strict'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { pause } from '../../src/utils/pause.js'
import { createSubmission } from '../plan/createPlan.js'
import type { ClusterControlHost, ControlCluster } from './ControlCluster.js'
import type { RandomFaults } from './RandomFaults.js'

const RETRY_MILLISECONDS = 100
const INTERVAL_MILLISECONDS = 400
/** Longest time for which the operator waits for an answer before asking another host. */
const PATIENCE_MILLISECONDS = 1_500
const RACE_SHARE = 0.3
const EVACUATION_SHARE = 0.3

/** An operator that changes plans and evacuates domains through any host, and reads; checks each answer against the earlier ones. */
export class PlanStream {
  /** Newest acknowledged version, and the clock time of its acknowledgement. */
  version = 1
  acknowledgedAt = performance.now()
  readonly evacuated: string[] = []
  isStopped = false
  readonly #cluster: ControlCluster
  readonly #faults: RandomFaults
  readonly #digestByBase = new Map<number, string>()
  #base = 1
  #orderCount = 0

  /**
   * @param cluster - hosts that have accepted plan 1
   * @param faults - tells which hosts answer
   */
  constructor (cluster: ControlCluster, faults: RandomFaults) {
    this.#cluster = cluster
    this.#faults = faults
  }

  /** Sends changes until {@link isStopped}. */
  async runChanges (): Promise<void> {
    while (!this.isStopped) {
      this.#orderCount += 1
      if (this.#faults.pickTime(1_000) / 1_000 > 1 - EVACUATION_SHARE) await this.#evacuate(`domain-${this.#orderCount}`)
      else await this.#change()
      await pause(this.#faults.pickTime(INTERVAL_MILLISECONDS))
    }
  }

  /** Reads through any host until {@link isStopped}. */
  async runReads (): Promise<void> {
    while (!this.isStopped) {
      this.read(this.#pickHost()).catch((error: unknown) => { this.failure ??= error })
      await pause(RETRY_MILLISECONDS)
    }
  }

  /** First violation that a read or a change showed. */
  failure: unknown

  /** @returns version that a host reads, undefined when it cannot tell; older than acknowledged before is a failure */
  async read (host: ClusterControlHost): Promise<number | undefined> {
    const { version } = this
    const answer = await this.#ask(host, host.process.plans.read())
    if (answer === undefined) return undefined
    const read = answer.current?.plan.version ?? 0
    assert.ok(read >= version, `${host.address} reads version ${read}, and ${version} was acknowledged before`)
    this.#base = Math.max(this.#base, read)
    return read
  }

  async #change (): Promise<void> {
    const base = this.#base
    const variants = this.#faults.pickTime(100) < 100 * RACE_SHARE ? ['a', 'b'] : ['a']
    await Promise.all(variants.map(async (variant) => { await this.#submit(base, `${variant}${this.#orderCount}`) }))
    if (this.#base === base) await this.read(this.#pickHost()).catch((error: unknown) => { this.failure ??= error })
  }

  async #submit (base: number, variant: string): Promise<void> {
    const host = this.#pickHost()
    const submission = createSubmission(base + 1, base, variant)
    const answer = await this.#ask(host, host.process.plans.submit(submission))
    if (answer?.result !== PlanResult.Accepted) return
    const earlier = this.#digestByBase.get(base)
    if (earlier !== undefined) this.failure ??= new Error(`both ${earlier} and ${submission.digest} on version ${base} were acknowledged`)
    this.#digestByBase.set(base, submission.digest)
    this.#base = Math.max(this.#base, base + 1)
    this.version = Math.max(this.version, base + 1)
    this.acknowledgedAt = performance.now()
    this.onAcknowledged()
  }

  async #evacuate (domain: string): Promise<void> {
    const host = this.#pickHost()
    if (await this.#ask(host, host.process.plans.evacuate(domain, true)) !== PlanResult.Accepted) return
    this.evacuated.push(domain)
    this.acknowledgedAt = performance.now()
    this.onAcknowledged()
  }

  /** Called at each acknowledgement. */
  onAcknowledged: () => void = () => {}

  /** @returns the answer of a host, undefined when it does not arrive in time */
  async #ask<Answer> (host: ClusterControlHost, answer: Promise<Answer>): Promise<Answer | undefined> {
    if (!this.#faults.isReachable(host)) return undefined
    const arrived = await Promise.race([answer.catch(() => undefined), pause(PATIENCE_MILLISECONDS)])
    return this.#faults.isReachable(host) ? arrived ?? undefined : undefined
  }

  #pickHost (): ClusterControlHost {
    const reachable = this.#cluster.hosts.filter((host) => this.#faults.isReachable(host))
    return this.#faults.pick(reachable.length > 0 ? reachable : this.#cluster.hosts)
  }
}
