import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { PlanResult } from '../../src/plan/PlanResult.js'
import type { RoutingPlan } from '../../src/plan/RoutingPlan.js'
import { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { seededRandom } from '../agreement/support/SheetCluster.js'
import { AnnouncementResult } from '../../src/registry/UpstreamRegistry.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { ControlCluster, type ClusterControlHost } from '../control/ControlCluster.js'
import { createRoute, createSubmission } from '../plan/createPlan.js'
import { FollowingHosts } from './FollowingHosts.js'

const SEED_COUNT = 6
const ROUNDS = 3
const STEPS_PER_ROUND = 12
const CONTROL_HOST_COUNT = 6
const ENTRY_HOST_COUNT = 3
const LOSSES_PER_ROUND = 2
const MAXIMUM_DOWN = 2
const STEP_MILLISECONDS = 900
const CHECK_INTERVAL_MILLISECONDS = 20
/** Time after the last disturbance from which on the limits hold. */
const SETTLE_MILLISECONDS = 5_000
/** Shortest of the users' limits for the time until a change is in force. */
const MAXIMUM_APPLY_MILLISECONDS = 2_500
const ROUTE_COUNT = 40

/** Control hosts and entry hosts under random disturbances and changes. */
class DisturbedSystem {
  readonly entryHosts: FollowingHosts
  readonly #cluster: ControlCluster
  readonly #random: () => number
  readonly #submitted = new Map<number, RoutingPlan>()
  readonly #down = new Set<ClusterControlHost>()
  readonly #evacuated = new Set<string>()
  /** Identifiers of upstreams whose drain or departure was acknowledged. */
  readonly #departed = new Set<string>()
  #upstreamCount = 0
  #acknowledgedVersion = 1
  #lastVersion = 1
  #losses = 0

  constructor (cluster: ControlCluster, seed: number) {
    this.#cluster = cluster
    this.#random = seededRandom(seed + 1_000)
    this.#submitted.set(1, createSubmission(1, 0).plan)
    this.entryHosts = new FollowingHosts(cluster, this.#random, this.#submitted)
    for (let index = 0; index < ENTRY_HOST_COUNT; index += 1) this.entryHosts.start(index)
  }

  /** Disturbs control hosts, links and entry hosts at random while the operator changes plans and evacuations. */
  async disturb (): Promise<void> {
    this.#losses = 0
    const steps = [() => { this.#killOne() }, () => this.#restartDown(), () => this.#killAll(), () => this.#killAllWhileOneLags(), () => { this.#cutOne() }, () => { this.#cluster.network.heal() }, () => { this.entryHosts.start(this.#pick(ENTRY_HOST_COUNT)) }, () => this.#submit(), () => this.#submit(), () => this.#orderEvacuation(), () => this.#startAndEndUpstream()]
    for (let step = 0; step < STEPS_PER_ROUND; step += 1) {
      await steps[this.#pick(steps.length)]!()
      await this.#watch(this.#pick(STEP_MILLISECONDS))
    }
  }

  /** Ends all disturbances, and waits until the group is complete. */
  async settle (): Promise<void> {
    this.#cluster.network.heal()
    await this.#restartDown()
    const isComplete = ({ process }: ClusterControlHost): boolean => process.voterCount === CONTROL_HOST_COUNT
    await this.#cluster.waitUntil(() => this.#cluster.hosts.every(isComplete), 'the group is complete again')
    await this.#watch(SETTLE_MILLISECONDS)
  }

  /** Fails unless what was acknowledged is in force, and a further change comes into force in time. */
  async expectInForce (): Promise<void> {
    for (const { known } of this.entryHosts.hosts) assert.ok(known.plan !== undefined && known.plan.version >= this.#acknowledgedVersion, `plan ${known.plan?.version} is in force, ${this.#acknowledgedVersion} was acknowledged`)
    for (const { known, name } of this.entryHosts.hosts) assert.deepEqual(known.listReady('inventario').map(({ record }) => record.id).filter((id) => this.#departed.has(id)), [], `departed upstreams at ${name}`)
    const before = this.#acknowledgedVersion
    await this.#submit()
    assert.ok(this.#acknowledgedVersion > before, 'a change is acknowledged')
    await this.#watch(MAXIMUM_APPLY_MILLISECONDS)
    for (const { known, name } of this.entryHosts.hosts) {
      assert.equal(known.plan?.version, this.#acknowledgedVersion, `plan at ${name}`)
      for (let domain = 0; domain < CONTROL_HOST_COUNT; domain += 1) assert.equal(known.isEvacuated(`domain-${domain}`), this.#evacuated.has(`domain-${domain}`), `evacuation of domain ${domain} at ${name}`)
    }
  }

  #pick (count: number): number {
    return Math.floor(this.#random() * count)
  }

  #listUp (): ClusterControlHost[] {
    return this.#cluster.hosts.filter((host) => !this.#down.has(host))
  }

  #killOne (): void {
    if (this.#down.size < MAXIMUM_DOWN) this.#kill(this.#pickUp())
  }

  #kill (host: ClusterControlHost): void {
    this.#cluster.kill(host)
    this.#down.add(host)
  }

  async #killAll (): Promise<void> {
    for (const host of this.#listUp()) this.#kill(host)
    await this.#watch(this.#pick(STEP_MILLISECONDS))
    await this.#restartDown()
  }

  /** Makes a control host miss a change, so that it recalls an older plan than the others after a kill of all. */
  async #killAllWhileOneLags (): Promise<void> {
    const { address } = this.#pickUp()
    this.#cluster.network.split([address], this.#cluster.hosts.map((host) => host.address).filter((other) => other !== address))
    await this.#watch(this.#pick(2 * STEP_MILLISECONDS))
    await this.#submit()
    await this.#watch(this.#pick(STEP_MILLISECONDS))
    await this.#killAll()
    await this.#watch(this.#pick(2 * STEP_MILLISECONDS))
    this.#cluster.network.heal()
  }

  async #restartDown (): Promise<void> {
    const hosts = [...this.#down]
    this.#down.clear()
    const restarting = this.#cluster.restart(hosts, (files) => this.#findFiles(files))
    await this.#cluster.waitFor(restarting)
  }

  #findFiles (files: MemoryFiles): MemoryFiles {
    if (this.#losses < LOSSES_PER_ROUND && this.#random() < 0.4) {
      this.#losses += 1
      return new MemoryFiles(this.#random)
    }
    return this.#random() < 0.5 ? files.restartProcess() : files.createSurvivor()
  }

  #cutOne (): void {
    const { network, hosts } = this.#cluster
    const { address } = hosts[this.#pick(hosts.length)]!
    const entryAddress = FollowingHosts.getAddress(this.#pick(ENTRY_HOST_COUNT))
    network.heal()
    if (this.#random() < 0.5) network.split([address], hosts.map((host) => host.address).filter((other) => other !== address))
    else network.split([entryAddress], [address])
  }

  /** Submits a plan on the newest one, at any host, and sends it again until the answer is clear or a while has passed. */
  async #submit (): Promise<void> {
    const version = ++this.#lastVersion
    const base = await this.#readVersion()
    if (base === undefined) return
    const submission = createSubmission(version, base)
    const routes = Array.from({ length: ROUTE_COUNT }, (_, number) => createRoute({ name: `r-${number}`, pathPrefix: `/${number}/`, mostAttempts: 1 + this.#pick(8) / 8 }))
    const plan = { ...submission.plan, routes: routes.filter(() => this.#random() < 0.9) }
    this.#submitted.set(version, plan)
    const result = await this.#askUntilClear(async ({ process }) => (await process.plans.submit({ ...submission, plan })).result)
    assert.ok(result === undefined || result === PlanResult.Accepted, `plan ${version} on ${base}: ${result}`)
    if (result === PlanResult.Accepted) this.#acknowledgedVersion = version
  }

  async #readVersion (): Promise<number | undefined> {
    const answer = await this.#watchUntil(this.#pickUp().process.plans.read())
    const version = answer?.current?.plan.version
    if (version !== undefined) assert.ok(version >= this.#acknowledgedVersion, `plan ${version} is read, ${this.#acknowledgedVersion} was acknowledged`)
    return version
  }

  async #orderEvacuation (): Promise<void> {
    const domain = `domain-${this.#pick(CONTROL_HOST_COUNT)}`
    const isEvacuated = this.#random() < 0.5
    let result: PlanResult | undefined
    // An order without a clear answer may or may not be in force, so it is sent until it is clear.
    while (result !== PlanResult.Accepted) result = await this.#askUntilClear(async ({ process }) => await process.plans.evacuate(domain, isEvacuated)) ?? await this.#recover()
    if (isEvacuated) this.#evacuated.add(domain)
    else this.#evacuated.delete(domain)
  }

  /** An upstream announces itself at any host, and leaves or drains after a while at any other. */
  async #startAndEndUpstream (): Promise<void> {
    const id = `i-${++this.#upstreamCount}`
    const record = createUpstreamRecord({ id, address: `127.0.2.${this.#upstreamCount}:8080` })
    await this.#watchUntil(this.#pickUp().process.upstreams.announce(record))
    await this.#watch(this.#pick(STEP_MILLISECONDS))
    const { upstreams } = this.#pickUp().process
    const left = this.#random() < 0.5 ? upstreams.remove(id, record.bornAt) : upstreams.announce({ ...record, sequence: 2, readiness: UpstreamReadiness.Draining })
    if (await this.#watchUntil(left) === AnnouncementResult.Accepted) this.#departed.add(id)
    if (this.#random() < 0.3) await this.#killAll()
  }

  #pickUp (): ClusterControlHost {
    const up = this.#listUp()
    return up[this.#pick(up.length)]!
  }

  async #recover (): Promise<undefined> {
    this.#cluster.network.heal()
    await this.#restartDown()
    await this.#watch(STEP_MILLISECONDS)
  }

  async #askUntilClear (ask: (host: ClusterControlHost) => Promise<PlanResult>): Promise<PlanResult | undefined> {
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const result = await this.#watchUntil(ask(this.#pickUp()))
      if (result !== PlanResult.Unknown) return result
      await this.#watch(200)
    }
    return undefined
  }

  async #watch (milliseconds: number): Promise<void> {
    const endsAt = performance.now() + milliseconds
    while (performance.now() < endsAt) {
      await this.#cluster.advance(CHECK_INTERVAL_MILLISECONDS)
      this.entryHosts.check()
    }
  }

  async #watchUntil<Result> (promise: Promise<Result>): Promise<Result> {
    const result = await this.#cluster.waitFor(promise)
    this.entryHosts.check()
    return result
  }
}

for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
  // Guards against entry hosts that go back to an older plan or older evacuations.
  test(`no entry host goes back, and changes are in force in time, while control hosts restart, are cut off and lose disks (seed ${seed})`, async (context: TestContext) => {
    const system = new DisturbedSystem(await ControlCluster.start(context, CONTROL_HOST_COUNT, seed), seed)
    context.after(() => { for (let index = 0; index < ENTRY_HOST_COUNT; index += 1) system.entryHosts.stop(index) })
    for (let round = 0; round < ROUNDS; round += 1) {
      await system.disturb()
      await system.settle()
      await system.expectInForce()
    }
  })
}
