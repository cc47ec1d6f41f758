/**
 * Measures the claim ledger in one process: calls and replies are encoded as JSON, but pass no socket.
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
const ANSWER_BYTE_COUNTS = [0, 1_024]
const SILENT_LOG = { info: () => {}, warn: () => {}, error: () => {} }
const LIMITS = { ...DEFAULT_LEDGER_LIMITS, records: 1_000_000, answerBytes: 1_000_000_000 }
const traffic = { messages: 0, bytes: 0 }

/** Counts a message, and returns it encoded and decoded as JSON. */
function transmit<Value> (value: Value): Value {
  const text = JSON.stringify(value)
  traffic.messages += 1
  traffic.bytes += text.length
  return JSON.parse(text)
}

function createClaim (number: number): ClaimParameters {
  const numberText = `${number}`
  return { epoch: '0mhx0c1abq8f2k4m7z1', key: numberText.padStart(22, 'k'), claim: `1y2o3kqjzw1abc/${number.toString(36)}`, bodyDigest: numberText.padStart(22, 'd'), expiresAt: Date.now() + 600_000, runMilliseconds: 60_000 }
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
    transmit(epoch.claim(transmit(claim), Date.now()))
    transmit(epoch.update(transmit({ ...claim, change: ClaimChange.Done, answer: createAnswer(0) })))
    if (number % 10_000 === 0) epoch.clear()
  }
  const seconds = (performance.now() - startedAt) / 1_000
  console.log(`one member: ${Math.round(MEMBER_ROUNDS / seconds)} claims with outcome per second, ${Math.round(traffic.bytes / MEMBER_ROUNDS)} bytes each`)
}

function createFilledEpoch (count: number, answerBytes: number): LedgerEpoch {
  const epoch = createEpoch()
  for (let number = 0; number < count; number++) {
    const claim = transmit(createClaim(number))
    epoch.claim(claim, Date.now())
    epoch.update(transmit({ ...claim, change: ClaimChange.Done, answer: createAnswer(answerBytes) }))
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
  const heapBytesBefore = await measureHeap()
  const epoch = createFilledEpoch(count, answerBytes)
  const usedBytes = await measureHeap() - heapBytesBefore
  console.log(`${epoch.size} records with answers of ${answerBytes} bytes: ${(usedBytes / 1_048_576).toFixed(1)} MiB, ${Math.round(usedBytes / count)} bytes a record`)
}

async function measureRecovery (count: number): Promise<void> {
  const fullEpoch = createFilledEpoch(count, 256)
  const pages = { count: 0 }
  const readEpoch = createEpochReader(async <Result>(_to: string, _method: PeerMethod, parameters: object) => {
    pages.count += 1
    return transmit(fullEpoch.readPage(transmit(parameters) as PageParameters)) as Result
  }, PeerMethod.LedgerRecover, 1_000)
  const emptyEpoch = new LedgerEpoch(fullEpoch.epoch, { address: HOSTS[1]!, incarnation: fullEpoch.self.incarnation + 1 }, EpochState.Recovering, new StoreUsage(LIMITS))
  const startedAt = performance.now()
  const isRecovered = await recoverEpoch(emptyEpoch, readEpoch)
  console.log(`recovery of ${count} records from two members: ${Math.round(performance.now() - startedAt)} ms, ${pages.count} pages, ${isRecovered ? 'done' : 'failed'}`)
}

async function measureLedger (memberCount: number): Promise<void> {
  const hosts = HOSTS.slice(0, memberCount)
  const handlers = new Map<string, Map<PeerMethod, PeerHandler<any, unknown>>>(hosts.map((host) => [host, new Map()]))
  const callPeer = async <Result>(to: string, method: PeerMethod, parameters: object): Promise<Result> => {
    const received = transmit(parameters)
    await new Promise<void>((resolve) => { setImmediate(resolve) })
    return transmit(await handlers.get(to)!.get(method)!(received)) as Result
  }
  const sharedSettings = { domain: 'bilbao', callPeer, random: Math.random, log: SILENT_LOG, counters: new Counters() }
  const members = hosts.map((self) => new LedgerMember({ ...sharedSettings, self, hosts, limits: LIMITS, registerHandler: (method, handler) => { handlers.get(self)!.set(method, handler) } }))
  for (const member of members) await member.runRound()
  const sign = (text: string): string => createHmac('sha256', 'secret').update(text).digest('base64url')
  const ledger = new QuorumLedger({ ...sharedSettings, self: '127.0.0.4:7001', ledgerHostsOf: () => hosts, sign })
  Object.assign(traffic, { messages: 0, bytes: 0 })
  await ledger.checkQuorum()
  console.log(`ticket check of ${memberCount} member(s): ${traffic.messages} messages, ${traffic.bytes} bytes`)
  Object.assign(traffic, { messages: 0, bytes: 0 })
  const latencies: number[] = []
  const startedAt = performance.now()
  for (let number = 0; number < LEDGER_CLAIMS; number++) {
    const key = `${ledger.ticketPrefix() ?? await renewTicketPrefix(ledger)}.${number}`
    const claimedAt = performance.now()
    const { result } = await ledger.claim(key, 'd'.repeat(64))
    latencies.push(performance.now() - claimedAt)
    if (result !== ClaimResult.Granted) throw new Error(result)
    await ledger.complete(key, createAnswer(256))
  }
  const seconds = (performance.now() - startedAt) / 1_000
  latencies.sort((left, right) => left - right)
  const formatLatency = (fraction: number): string => latencies[Math.floor(latencies.length * fraction)]!.toFixed(3)
  console.log(`${memberCount} member(s) and claimant on one core: ${Math.round(LEDGER_CLAIMS / seconds)} actions per second, claim p50 ${formatLatency(0.5)} ms, p99 ${formatLatency(0.99)} ms, ${Math.round(traffic.bytes / LEDGER_CLAIMS)} bytes an action`)
}

async function renewTicketPrefix (ledger: QuorumLedger): Promise<string> {
  await ledger.checkQuorum()
  return ledger.ticketPrefix()!
}

measureMember()
for (const bytes of ANSWER_BYTE_COUNTS) {
  for (const count of RECORD_COUNTS) await measureMemory(count, bytes)
}
for (const count of RECORD_COUNTS) await measureRecovery(count)
for (const members of [1, 2, 3]) await measureLedger(members)
