import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const SEED_COUNT = 12
const STEP_COUNT = 60
const MAXIMUM_REPLACE_ATTEMPTS = 20
const LIMITS = { snapshotAfterEntries: 6, keptEntries: 2, chunkBytes: 600, batchBytes: 400 }
const TIMINGS = { delayMilliseconds: 20, syncMilliseconds: 15 }

/** Records the accepted answers, revisions and leaders observed, and checks that none of them ever changes. */
class HistoryChecker {
  readonly #digestsByRevision = new Map<number, string>()
  readonly #acceptedAnswers: Array<{ revision: number, digest: string }> = []
  readonly #leadersByTerm = new Map<number, string>()

  recordAccepted (revision: number, digest: string): void {
    this.#acceptedAnswers.push({ revision, digest })
  }

  checkReplicas (cluster: SheetCluster): void {
    for (const { registry, replicatedLog } of cluster.listRunning()) {
      for (const { revision, digest } of registry.history()) {
        assert.equal(this.#digestsByRevision.get(revision) ?? digest, digest, `revision ${revision} differs`)
        this.#digestsByRevision.set(revision, digest)
      }
      const { role, term, identity } = replicatedLog.status()
      if (role !== 'leader') continue
      assert.equal(this.#leadersByTerm.get(term) ?? identity, identity, `two leaders in term ${term}`)
      this.#leadersByTerm.set(term, identity)
    }
  }

  assertNothingLost (cluster: SheetCluster): void {
    for (const { registry } of cluster.listRunning()) {
      const digestsByRevision = new Map(registry.history().map(({ revision, digest }) => [revision, digest]))
      for (const { revision, digest } of this.#acceptedAnswers) assert.equal(digestsByRevision.get(revision), digest, `the accepted revision ${revision} is lost`)
    }
  }
}

/** Wipes one disk at a time, and replaces its replica before the next disk is wiped. */
class DiskLosses {
  #lostReplica: { identity: string, address: string } | undefined
  #lastReason: string | undefined

  /** Wipes a disk, or retries the replacement of the last wiped one. */
  async performStep (cluster: SheetCluster): Promise<void> {
    if (this.#lostReplica !== undefined) this.#replace(cluster)
    else await this.#wipe(cluster)
  }

  async finishReplacement (cluster: SheetCluster): Promise<void> {
    for (let attempts = 0; attempts < MAXIMUM_REPLACE_ATTEMPTS && this.#lostReplica !== undefined; attempts += 1) {
      await cluster.waitForLeader()
      await cluster.waitFor(this.#replace(cluster))
    }
    assert.equal(this.#lostReplica, undefined, `not replaced: ${this.#lastReason}`)
  }

  async #wipe (cluster: SheetCluster): Promise<void> {
    const host = pick(cluster, cluster.hosts)
    if (host === undefined) return
    if (host.isRunning) cluster.kill(host)
    this.#lostReplica = { identity: host.replicatedLog.status().identity, address: host.address }
    await cluster.restartWithEmptyDisk(host)
  }

  async #replace (cluster: SheetCluster): Promise<void> {
    const lost = this.#lostReplica
    const host = pick(cluster, cluster.listRunning())
    if (lost === undefined || host === undefined) return
    const { done, reason } = await host.replicatedLog.replace(lost.identity, lost.address)
    this.#lastReason = reason
    if (done && this.#lostReplica === lost) this.#lostReplica = undefined
  }
}

function pick<Item> (cluster: SheetCluster, items: Item[]): Item | undefined {
  return items[Math.floor(cluster.random() * items.length)]
}

async function step (cluster: SheetCluster, checker: HistoryChecker, number: number, losses?: DiskLosses): Promise<void> {
  if (losses !== undefined && cluster.random() < 0.2) await losses.performStep(cluster)
  const chance = cluster.random()
  const host = pick(cluster, cluster.listRunning())
  const stoppedHost = pick(cluster, cluster.hosts.filter(({ isRunning }) => !isRunning))
  if (chance < 0.55 && host !== undefined) submit(cluster, checker, host, number)
  else if (chance < 0.68 && host !== undefined) cluster.kill(host)
  else if (chance < 0.82 && stoppedHost !== undefined) await cluster.restart(stoppedHost)
  else if (chance < 0.9) cut(cluster)
  else if (chance < 0.96) cluster.network.heal()
  else if (host !== undefined) pauseTemporarily(cluster, host)
  await cluster.advance(10 * Math.floor(cluster.random() * 120))
  checker.checkReplicas(cluster)
}

/** Submits a sheet; sometimes with the number before, so that two hosts submit different contents under one number. */
function submit (cluster: SheetCluster, checker: HistoryChecker, host: ClusterHost, number: number): void {
  const content = `sheet ${number} through ${host.address}`
  const chosenNumber = cluster.random() < 0.3 ? number - 1 : number
  cluster.submit(host, chosenNumber, content).then(({ result, accepted }) => {
    if (result === SubmitResult.Accepted && accepted !== undefined) checker.recordAccepted(accepted.revision, accepted.digest)
  }, () => {})
}

function cut (cluster: SheetCluster): void {
  const from = pick(cluster, cluster.listAddresses()) ?? ''
  const to = pick(cluster, cluster.listAddresses()) ?? ''
  cluster.network.cut(from, to)
  if (cluster.random() < 0.5) cluster.network.cut(to, from)
}

function pauseTemporarily (cluster: SheetCluster, host: ClusterHost): void {
  cluster.network.pauseHost(host.address)
  setTimeout(() => cluster.network.resumeHost(host.address), 400 + cluster.random() * 3_000)
}

async function run (context: TestContext, seed: number, size: number, losses?: DiskLosses): Promise<void> {
  const cluster = await SheetCluster.start(context, seed, size, LIMITS)
  cluster.network.delayMilliseconds = TIMINGS.delayMilliseconds
  for (const { files } of cluster.hosts) files.syncMilliseconds = TIMINGS.syncMilliseconds
  const checker = new HistoryChecker()
  for (let number = 1; number <= STEP_COUNT; number += 1) await step(cluster, checker, number, losses)
  cluster.network.heal()
  await cluster.advance(4_000)
  for (const host of cluster.hosts.filter(({ isRunning }) => !isRunning)) await cluster.restart(host)
  await losses?.finishReplacement(cluster)
  const answer = await cluster.waitFor(cluster.submit(await cluster.waitForLeader(), STEP_COUNT + 1))
  assert.equal(answer.result, SubmitResult.Accepted)
  await cluster.waitForSheet(STEP_COUNT + 1)
  checker.checkReplicas(cluster)
  checker.assertNothingLost(cluster)
}

for (const size of [3, 5]) {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    test(`no accepted sheet is lost or changed by random crashes, restarts, disconnections and pauses of ${size} replicas (seed ${seed})`, (context) => run(context, seed, size))
  }
}

for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
  test(`no accepted sheet is lost or changed by disks lost one after another, with repairs in between (seed ${seed})`, (context) => run(context, seed, 5, new DiskLosses()))
}
