import assert from 'node:assert/strict'
import { createHash, createHmac } from 'node:crypto'
import type { TestContext } from 'node:test'
import { ClaimResult, type ClaimAnswer, type StoredAnswer } from '../../src/ledger/ClaimLedger.js'
import { DEFAULT_LEDGER_LIMITS, type LedgerLimits } from '../../src/ledger/LedgerLimits.js'
import type { LedgerTimings } from '../../src/ledger/LedgerTimings.js'
import { LedgerMember } from '../../src/ledger/LedgerMember.js'
import { QuorumLedger } from '../../src/ledger/QuorumLedger.js'
import { Counters } from '../../src/observe/Counters.js'
import type { Log } from '../../src/observe/Log.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { MemoryNetwork } from './MemoryNetwork.js'

const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} }
const DOMAIN = 'bilbao'
export const ANSWER: StoredAnswer = { status: 201, headers: [['content-type', 'text/plain']], body: 'Ym9va2Vk' }

/** @returns a function that returns numbers from 0 to below 1, the same sequence for the same seed */
export function createSeededRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    const mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    const more = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((more ^ (more >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Ledger members and claimants of one failure domain on a paused clock, with the number of runs of each key. */
export class LedgerFixture {
  readonly network = new MemoryNetwork()
  readonly random: () => number
  readonly hosts: string[]
  readonly members = new Map<string, LedgerMember>()
  readonly runs = new Map<string, number>()
  readonly counters = new Counters()
  readonly #context: TestContext
  readonly #limits: LedgerLimits
  readonly #timings: Partial<LedgerTimings>
  readonly #sealedUnclaimedKeys = new Set<string>()

  constructor (context: TestContext, memberCount: number, seed = 1, limits: Partial<LedgerLimits> = {}, timings: Partial<LedgerTimings> = {}) {
    pauseClock(context)
    this.#context = context
    this.#timings = timings
    this.#limits = { ...DEFAULT_LEDGER_LIMITS, ...limits }
    this.random = createSeededRandom(seed)
    this.hosts = ['a', 'b', 'c'].slice(0, memberCount)
    context.after(() => { for (const member of this.members.values()) member.stop() })
  }

  /** Starts a member, or restarts it with an empty memory. */
  startMember (address: string): void {
    this.stopMember(address)
    const { callPeer, registerHandler } = this.network.start(address)
    const member = new LedgerMember({
      self: address, domain: DOMAIN, hosts: this.hosts, callPeer, registerHandler, random: this.random, log: SILENT_LOG, counters: this.counters, limits: this.#limits, timings: this.#timings
    })
    member.start()
    this.members.set(address, member)
  }

  stopMember (address: string): void {
    this.members.get(address)?.stop()
    this.members.delete(address)
    this.network.kill(address)
  }

  async startAll (): Promise<void> {
    for (const address of this.hosts) this.startMember(address)
    await this.advance(2_000)
  }

  createClaimant (address: string): QuorumLedger {
    const ledger = new QuorumLedger({
      self: address,
      domain: DOMAIN,
      ledgerHostsOf: (domain) => domain === DOMAIN ? this.hosts : [],
      callPeer: this.network.start(address).callPeer,
      sign: (text) => createHmac('sha256', 'secret').update(text).digest('base64url'),
      random: this.random,
      log: SILENT_LOG,
      counters: this.counters,
      timings: this.#timings
    })
    return ledger
  }

  async advance (milliseconds: number, stepMilliseconds = 10): Promise<void> {
    await advance(this.#context, milliseconds, stepMilliseconds)
  }

  /** Advances the clock until a promise is settled. */
  async advanceUntilSettled<Result> (promise: Promise<Result>): Promise<Result> {
    const progress = { isSettled: false }
    const end = (): void => { progress.isSettled = true }
    promise.then(end, end)
    while (!progress.isSettled) await this.advance(1, 1)
    return await promise
  }

  /** @returns a new key, undefined while no epoch has a quorum */
  async createKey (ledger: QuorumLedger): Promise<string | undefined> {
    await this.advanceUntilSettled(ledger.checkQuorum())
    const prefix = ledger.ticketPrefix()
    return prefix === undefined ? undefined : `${prefix}.booking-1`
  }

  /** Counts a run; to be called where the first byte would be sent to an upstream. */
  recordRun (key: string): void {
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1)
  }

  /** Claims a key, runs it if granted, and stores the answer; checks that the action did not run if the answer says so. */
  async send (ledger: QuorumLedger, key: string, body = 'body'): Promise<ClaimAnswer> {
    const ranBefore = this.runs.get(key) ?? 0
    const answer = await ledger.claim(key, createHash('sha256').update(body).digest('hex'))
    const { result, mayHaveRun } = answer
    if (result === ClaimResult.Granted && answer.isStillValid()) {
      this.recordRun(key)
      await ledger.complete(key, ANSWER)
    }
    if (result === ClaimResult.Sealed) this.#sealedUnclaimedKeys.add(key)
    assert.ok(result === ClaimResult.Granted || !answer.isStillValid(), `${result} must not be dispatched`)
    assert.ok(mayHaveRun || ranBefore === 0 || result === ClaimResult.Conflict, `${result} denied a run`)
    this.checkRuns()
    return answer
  }

  /** Checks that no key ran twice, and that no key ran after a claimant got the answer that it never will. */
  checkRuns (): void {
    for (const [key, runs] of this.runs) {
      assert.ok(runs <= 1, `${key} ran ${runs} times`)
      assert.ok(!this.#sealedUnclaimedKeys.has(key), `${key} ran though its epoch was sealed without it`)
    }
  }
}
