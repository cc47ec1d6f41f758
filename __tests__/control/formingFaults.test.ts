import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { pause } from '../../src/utils/pause.js'
import { seededRandom } from '../agreement/support/SheetCluster.js'
import { createSubmission } from '../plan/createPlan.js'
import { ControlCluster } from './ControlCluster.js'
import { CATCH_UP_MILLISECONDS } from './LossBudget.js'

const HOST_COUNT = 6
const TOLERATED_LOSSES = 2
const FAULT_COUNT = 8
/** Time from the first start within which faults begin, and their longest duration. */
const FAULTY_MILLISECONDS = 6_000
const LONGEST_FAULT_MILLISECONDS = 4_000
/** Time within which a plan is accepted once no fault is on, and read once all hosts are back. */
const ACCEPT_MILLISECONDS = 30_000
const READ_MILLISECONDS = 15_000
const STEP_MILLISECONDS = 20
const FIRST_SEED = Number(process.env.FIRST_SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 12)

/** What the leader of a group knew when it let the group accept plans. */
interface Completion { group: string, voters: number, answering: number, done: boolean }

/** Control hosts that start for the first time, under random faults. */
class FormingRun {
  readonly #cluster: ControlCluster
  readonly #random: () => number
  readonly #completions: Completion[] = []
  readonly #records: string[] = []
  /** Time of the latest loss of each machine's disk. */
  readonly #lostMachines = new Map<number, number>()
  readonly #busyMachines = new Set<number>()
  #isOver = false

  constructor (context: TestContext, seed: number) {
    this.#cluster = ControlCluster.begin(context, HOST_COUNT, seed)
    this.#random = seededRandom(seed + 1_000)
    this.#cluster.onRecord = (at, address, event, fields) => {
      this.#records.push(`${Math.round(at)} ${address} ${event} ${JSON.stringify(fields)}`)
      if (event === 'group-complete') this.#completions.push(fields as Completion)
    }
  }

  get trace (): string {
    return this.#records.join('\n')
  }

  async play (): Promise<void> {
    const faults = Promise.all(Array.from({ length: FAULT_COUNT }, () => this.#runFault()))
    let isFaulty = true
    faults.then(() => { isFaulty = false }, () => {})
    let faultsEndedAt = Number.POSITIVE_INFINITY
    while (!await this.#cluster.waitFor(this.#submitAnywhere(1))) {
      if (!isFaulty) faultsEndedAt = Math.min(faultsEndedAt, performance.now())
      assert.ok(performance.now() - faultsEndedAt < ACCEPT_MILLISECONDS, 'a plan is accepted once no fault is on')
      await this.#cluster.advance(STEP_MILLISECONDS)
    }
    this.#loseDisks()
    const startedAt = performance.now()
    while (!await this.#cluster.waitFor(this.#isRead())) {
      assert.ok(performance.now() - startedAt < READ_MILLISECONDS + LONGEST_FAULT_MILLISECONDS, 'the acknowledged plan is read')
      await this.#cluster.advance(STEP_MILLISECONDS)
    }
    await this.#cluster.waitFor(faults)
    await this.#cluster.advance(ACCEPT_MILLISECONDS)
    assert.ok(new Set(this.#completions.filter(({ done }) => done).map(({ group }) => group)).size <= 1, 'one group accepts plans')
    assert.ok(await this.#cluster.waitFor(this.#isRead()), 'the acknowledged plan is still read')
  }

  #pickTime (maximum: number): number {
    return Math.round(maximum * this.#random() ** 2)
  }

  async #runFault (): Promise<void> {
    await pause(this.#pickTime(FAULTY_MILLISECONDS))
    const machine = Math.floor(this.#random() * HOST_COUNT)
    const kind = ['kill', 'kill', 'diskLoss', 'hostLoss', 'freeze', 'cutOff', 'killAll'][Math.floor(this.#random() * 7)]!
    const duration = this.#pickTime(LONGEST_FAULT_MILLISECONDS)
    if (this.#isOver) return
    if (kind === 'killAll') return await this.#killAll(duration)
    if (this.#busyMachines.has(machine)) return
    this.#busyMachines.add(machine)
    this.#records.push(`${Math.round(performance.now())} test ${kind} ${machine} ${duration}`)
    await this.#disturb(kind, machine, duration)
    this.#busyMachines.delete(machine)
  }

  async #disturb (kind: string, machine: number, duration: number): Promise<void> {
    const { hosts, network } = this.#cluster
    const host = hosts[machine]!
    if (kind === 'freeze') {
      network.pauseHost(host.address)
      await pause(duration)
      network.resumeHost(host.address)
    } else if (kind === 'cutOff') {
      network.split([host.address], hosts.filter((other) => other !== host).map(({ address }) => address))
      await pause(duration)
      for (const { address } of this.#cluster.hosts) {
        network.mend(host.address, address)
        network.mend(address, host.address)
      }
    } else {
      const isLoss = kind !== 'kill' && (this.#lostMachines.size < TOLERATED_LOSSES || this.#lostMachines.has(machine))
      if (isLoss) this.#lostMachines.set(machine, performance.now() + duration)
      this.#cluster.kill(host)
      await pause(duration)
      if (this.#cluster.hosts[machine] !== host) return
      if (isLoss && kind === 'hostLoss') this.#cluster.launchReplacement(host)
      else this.#cluster.launch(host, isLoss ? this.#cluster.createDisk() : host.files.createSurvivor())
    }
  }

  async #killAll (duration: number): Promise<void> {
    if (this.#busyMachines.size > 0) return
    for (let machine = 0; machine < HOST_COUNT; machine += 1) this.#busyMachines.add(machine)
    this.#records.push(`${Math.round(performance.now())} test killAll ${duration}`)
    const killed = [...this.#cluster.hosts]
    for (const host of killed) this.#cluster.kill(host)
    await pause(duration)
    for (const host of killed) if (this.#cluster.hosts.includes(host)) this.#cluster.launch(host, host.files.createSurvivor())
    this.#busyMachines.clear()
  }

  /** All hosts lose power at the first acknowledgement, and as many as the group is to bear lose their disks. */
  #loseDisks (): void {
    this.#isOver = true
    const { voters, answering } = this.#completions.at(-1) ?? { voters: 0, answering: 0 }
    const recentlyLost = [...this.#lostMachines.values()].filter((at) => performance.now() - at < CATCH_UP_MILLISECONDS).length
    const tolerated = Math.max(0, Math.min(TOLERATED_LOSSES - recentlyLost, answering - Math.floor(voters / 2) - 1))
    const { hosts, network } = this.#cluster
    const lost = new Set<number>()
    while (lost.size < tolerated) lost.add(Math.floor(this.#random() * HOST_COUNT))
    this.#records.push(`${Math.round(performance.now())} test accepted, disks lost: ${[...lost].join(',')}`)
    network.heal()
    const killed = [...hosts]
    for (const host of killed) {
      network.resumeHost(host.address)
      this.#cluster.kill(host)
    }
    killed.forEach((host, machine) => { this.#cluster.launch(host, lost.has(machine) ? this.#cluster.createDisk() : host.files.createSurvivor()) })
  }

  async #submitAnywhere (version: number): Promise<boolean> {
    const results = await Promise.all(this.#cluster.hosts.map(async ({ process }) => await Promise.race([process.plans.submit(createSubmission(version, version - 1)), pause(1_000)])))
    return results.some((answer) => answer?.result === PlanResult.Accepted)
  }

  async #isRead (): Promise<boolean> {
    const reads = await Promise.all(this.#cluster.hosts.map(async ({ process }) => await Promise.race([process.plans.read(), pause(1_000)])))
    const known = reads.filter((read) => read !== undefined)
    assert.ok(known.every((read) => read.current?.plan.version === 1), 'no host that can tell lacks the acknowledged plan')
    return known.length > 0
  }
}

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
  // Guards against two groups that both accept plans, an acknowledged plan that is lost, and a group that is never formed.
  test(`control hosts that are disturbed at their first start form one group, which keeps the first plan, with seed ${seed}`, async (context: TestContext) => {
    const run = new FormingRun(context, seed)
    try {
      await run.play()
    } catch (error) {
      if (process.env.TRACE !== undefined) console.log(run.trace)
      throw error
    }
  })
}
