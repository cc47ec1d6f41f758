/**
 * Measures the claim ledger in one process: calls and replies are encoded as JSON, no socket is used.
 * Run with `node --expose-gc build/__performance_tests__/ledger/claimBench.js`.
 */
import { createHmac } from 'node:crypto'
import { ClaimResult, type StoredAnswer } from '../../src/ledger/ClaimLedger.js'
import { EpochState } from '../../src/ledger/Epoch.js'
import { DEFAULT_LEDGER_LIMITS } from '../../src/ledger/LedgerLimits.js'
import { LedgerEpoch } from '../../src/ledger/LedgerEpoch.js'
import { LedgerMember } from '../../src/ledger/LedgerMember.js'
import { ClaimChange, type ClaimParameters, type PageParameters } from '../../src/ledger/LedgerMessages.js'
import { QuorumLedger } from '../../src/ledger/QuorumLedger.js'
import { createEpochReader } from '../../src/ledger/createEpochReader.js'
import { recoverEpoch } from '../../src/ledger/recoverEpoch.js'
import { StoreUsage } from '../../src/ledger/ClaimStore.js'
import { Counters } from '../../src/observe/Counters.js'
import type { PeerHandler } from '../../src/transport/PeerHandler.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'

const HOSTS = ['127.0.0.1:7001', '127.0.0.2:7001', '127.0.0.3:7001']
const MEMBER_ROUNDS = 100_000
const LEDGER_CLAIMS = 10_000
const RECORD_COUNTS = [12_500, 25_000, 50_000]
const ANSWER_BYTES = [0, 1_024]
const SILENT = { info: () => {}, warn: () => {}, error: () => {} }
const LIMITS = { ...DEFAULT_LEDGER_LIMITS, records: 1_000_000, answerBytes: 1_000_000_000 }
const wire = { messages: 0, bytes: 0 }

function carry<Value> (value: Value): Value {
  const text = JSON.stringify(value)
  wire.messages += 1
  wire.bytes += text.length
  return JSON.parse(text)
}

function createClaim (number: number): ClaimParameters {
  const name = `${number}`
  return { epoch: '0mhx0c1abq8f2k4m7z1', key: name.padStart(22, 'k'), claim: `1y2o3kqjzw1abc/${number.toString(36)}`, bodyDigest: name.padStart(22, 'd'), expiresAt: Date.now() + 600_000, runMilliseconds: 60_000 }
}

function createAnswer (bytes: number): StoredAnswer {
  return { status: 201, headers: [['content-type', 'application/json']], body: 'A'.repeat(bytes) }
}

function createEpoch (): LedgerEpoch {
  const members = HOSTS.map((address) => ({ address, incarnation: 1_796_000_000_000_000 }))
  return new LedgerEpoch({ id: '0mhx0c1abq8f2k4m7z1', members }, members[0]!, EpochState.Active, new StoreUsage(LIMITS))
}

function measureMember (): void {
  const epoch = createEpoch()
  const startedAt = performance.now()
  for (let number = 0; number < MEMBER_ROUNDS; number++) {
    const claim = createClaim(number)
    carry(epoch.claim(carry(claim), Date.now()))
    carry(epoch.update(carry({ ...claim, change: ClaimChange.Done, answer: createAnswer(0) })))
    if (number % 10_000 === 0) epoch.clear()
  }
  const seconds = (performance.now() - startedAt) / 1_000
  console.log(`one member: ${Math.round(MEMBER_ROUNDS / seconds)} claims with outcome per second, ${Math.round(wire.bytes / MEMBER_ROUNDS)} bytes each`)
}

function fillEpoch (count: number, answerBytes: number): LedgerEpoch {
  const epoch = createEpoch()
  for (let number = 0; number < count; number++) {
    const claim = carry(createClaim(number))
    epoch.claim(claim, Date.now())
    epoch.update(carry({ ...claim, change: ClaimChange.Done, answer: createAnswer(answerBytes) }))
  }
  return epoch
}

async function measureHeap (): Promise<number> {
  for (let round = 0; round < 3; round++) {
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    globalThis.gc?.()
  }
  return process.memoryUsage().heapUsed
}

async function measureMemory (count: number, answerBytes: number): Promise<void> {
  const before = await measureHeap()
  const epoch = fillEpoch(count, answerBytes)
  const used = await measureHeap() - before
  console.log(`${epoch.size} records with answers of ${answerBytes} bytes: ${(used / 1_048_576).toFixed(1)} MiB, ${Math.round(used / count)} bytes a record`)
}

async function measureRecovery (count: number): Promise<void> {
  const full = fillEpoch(count, 256)
  const pages = { count: 0 }
  const read = createEpochReader(async <Result>(_to: string, _method: PeerMethod, parameters: object) => {
    pages.count += 1
    return carry(full.readPage(carry(parameters) as PageParameters)) as Result
  }, PeerMethod.LedgerRecover, 1_000)
  const empty = new LedgerEpoch(full.epoch, { address: HOSTS[1]!, incarnation: full.self.incarnation + 1 }, EpochState.Recovering, new StoreUsage(LIMITS))
  const startedAt = performance.now()
  const isRecovered = await recoverEpoch(empty, read)
  console.log(`recovery of ${count} records from two members: ${Math.round(performance.now() - startedAt)} ms, ${pages.count} pages, ${isRecovered ? 'done' : 'failed'}`)
}

async function measureLedger (memberCount: number): Promise<void> {
  const hosts = HOSTS.slice(0, memberCount)
  const handlers = new Map<string, Map<PeerMethod, PeerHandler<any, unknown>>>(hosts.map((host) => [host, new Map()]))
  const callPeer = async <Result>(to: string, method: PeerMethod, parameters: object): Promise<Result> => {
    const received = carry(parameters)
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    return carry(await handlers.get(to)!.get(method)!(received)) as Result
  }
  const shared = { domain: 'bilbao', callPeer, random: Math.random, log: SILENT, counters: new Counters() }
  const members = hosts.map((self) => new LedgerMember({ ...shared, self, hosts, limits: LIMITS, registerHandler: (method, handler) => { handlers.get(self)!.set(method, handler) } }))
  for (const member of members) await member.runRound()
  const sign = (text: string): string => createHmac('sha256', 'secret').update(text).digest('base64url')
  const ledger = new QuorumLedger({ ...shared, self: '127.0.0.4:7001', ledgerHostsOf: () => hosts, sign })
  Object.assign(wire, { messages: 0, bytes: 0 })
  await ledger.checkQuorum()
  console.log(`ticket check of ${memberCount} member(s): ${wire.messages} messages, ${wire.bytes} bytes`)
  Object.assign(wire, { messages: 0, bytes: 0 })
  const latencies: number[] = []
  const startedAt = performance.now()
  for (let number = 0; number < LEDGER_CLAIMS; number++) {
    const key = `${ledger.ticketPrefix() ?? await renew(ledger)}.${number}`
    const claimedAt = performance.now()
    const { result } = await ledger.claim(key, 'd'.repeat(64))
    latencies.push(performance.now() - claimedAt)
    if (result !== ClaimResult.Granted) throw new Error(result)
    await ledger.complete(key, createAnswer(256))
  }
  const seconds = (performance.now() - startedAt) / 1_000
  latencies.sort((left, right) => left - right)
  const at = (share: number): string => latencies[Math.floor(latencies.length * share)]!.toFixed(3)
  console.log(`${memberCount} member(s) and claimant on one core: ${Math.round(LEDGER_CLAIMS / seconds)} actions per second, claim p50 ${at(0.5)} ms, p99 ${at(0.99)} ms, ${Math.round(wire.bytes / LEDGER_CLAIMS)} bytes an action`)
}

async function renew (ledger: QuorumLedger): Promise<string> {
  await ledger.checkQuorum()
  return ledger.ticketPrefix()!
}

measureMember()
for (const bytes of ANSWER_BYTES) {
  for (const count of RECORD_COUNTS) await measureMemory(count, bytes)
}
for (const count of RECORD_COUNTS) await measureRecovery(count)
for (const members of [1, 2, 3]) await measureLedger(members)
