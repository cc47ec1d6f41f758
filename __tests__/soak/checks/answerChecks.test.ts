import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AnswerEnd, type RawExchange, type RawRun } from '../raw/RawRecord.js'
import { createRecord, type SoakRecord } from '../SoakRecord.js'
import { checkLost } from './checkLost.js'
import { checkOwn } from './checkOwn.js'
import { checkRuns } from './checkRuns.js'
import { checkWhole } from './checkWhole.js'
import { PlanHistory } from './PlanHistory.js'

const STOP = { host: 'entry-0', kind: 'SIGTERM', from: 19_800, to: 23_000 }

/** Adds a request of 20,000 to 20,500 ms that ran and was answered with the whole answer, unless changed. */
function addExchange (record: SoakRecord, changes: Partial<RawExchange> = {}): RawExchange {
  const attempt = `r-${record.exchanges.length + 1}`
  const exchange = { attempt, entryHost: 0, isKept: true, isIdempotent: false, isSlowReader: false, sentAt: 20_000, endedAt: 20_500, end: AnswerEnd.Whole, error: undefined, status: 200, answeredAttempt: attempt, signature: 'digest', bodyBytes: 100, digest: 'digest', beginning: `${attempt} raw-0 100`, ...changes }
  record.exchanges.push(exchange)
  return exchange
}

function addRun (record: SoakRecord, attempt: string, changes: Partial<RawRun> = {}): void {
  record.runs.push({ attempt, upstream: 'raw-0', startedAt: 20_010, endedAt: 20_490, script: '', status: 200, signature: 'digest', isBrokenOff: false, isAbandoned: false, isBehindCopy: false, isAsSent: true, ...changes })
}

function createPair (exchangeChanges: Partial<RawExchange> = {}, runChanges: Partial<RawRun> = {}): SoakRecord {
  const record = createRecord()
  addRun(record, addExchange(record, exchangeChanges).attempt, runChanges)
  return record
}

function createLoss (changes: Partial<RawExchange> = {}, runChanges: Partial<RawRun> = {}): SoakRecord {
  return createPair({ end: AnswerEnd.None, status: undefined, signature: undefined, answeredAttempt: undefined, ...changes }, runChanges)
}

function listBroken (record: SoakRecord): string[] {
  const history = new PlanHistory(record)
  return [...new Set([checkWhole, checkOwn, checkRuns, checkLost].flatMap((check) => check(history)).map(({ check }) => check))]
}

test('requests that were answered with the whole answers of upstreams break no rule', () => {
  const record = createPair()
  addRun(record, addExchange(record, { isIdempotent: true, status: 503, signature: undefined }).attempt, { isBrokenOff: true })
  addExchange(record, { status: 503, signature: undefined, answeredAttempt: undefined })
  addExchange(record, { end: AnswerEnd.Cut, sentAt: 20_400 })
  assert.deepEqual(listBroken(record), [])
})

for (const [name, changes, runChanges] of [
  ['a success with a part of a body that looks whole', { digest: 'digest of a part' }, {}],
  ['a success without a signature', { signature: undefined }, {}],
  ['a success without an identifier', { answeredAttempt: undefined }, {}],
  ['a success where the upstream had answered with a failure', {}, { status: 500 }],
  ['a failure with the signature of another answer', { status: 502 }, { status: 500 }],
  ['bytes that are no answer', { end: AnswerEnd.Malformed, status: undefined }, {}]
] as const) test(`${name} is found`, () => { assert.deepEqual(listBroken(createPair(changes, runChanges)), ['whole']) })

test('bytes that are no answer are no fault of a host when the upstream broke off', () => {
  assert.deepEqual(listBroken(createPair({ end: AnswerEnd.Malformed }, { isBrokenOff: true })), [])
})

test('an answer of another request is found by its identifier and by its body', () => {
  assert.deepEqual(listBroken(createPair({ answeredAttempt: 'r-7' })), ['own'])
  assert.deepEqual(listBroken(createPair({ beginning: 'r-7 raw-0 100' })), ['own'])
})

test('bytes without a request are found', () => {
  const record = createPair()
  record.strayBytes.push({ entryHost: 0, at: 21_000, attempt: 'r-1', text: 'HTTP/1.1 200 OK' })
  assert.deepEqual(listBroken(record), ['own'])
})

test('a request that ran twice is found, unless it may be repeated', () => {
  for (const isIdempotent of [true, false]) {
    const record = createPair({ isIdempotent })
    addRun(record, 'r-1', { upstream: 'raw-1' })
    assert.deepEqual(listBroken(record), isIdempotent ? [] : ['twice'])
  }
})

test('a promise for a request that ran is found', () => {
  for (const status of [408, 421, 429, 503]) assert.deepEqual(listBroken(createPair({ status, signature: undefined })), ['promise'])
})

test('a request that no guest has sent, or not so, is found', () => {
  const record = createPair()
  addRun(record, 'r-9')
  assert.deepEqual(listBroken(record), ['unasked'])
  assert.deepEqual(listBroken(createPair({}, { isAsSent: false })), ['unasked'])
})

test('a request that ends without a complete answer beside planned work is found', () => {
  for (const end of [AnswerEnd.None, AnswerEnd.Cut]) assert.deepEqual(listBroken({ ...createLoss({ end }), disturbances: [STOP] }), ['lost'])
  assert.deepEqual(listBroken({ ...createLoss(), reloads: [{ host: 'entry-0', at: 19_900 }] }), ['lost'])
  assert.deepEqual(listBroken({ ...createPair({ status: 502, signature: undefined }, { endedAt: 20_480, isAbandoned: true }), disturbances: [STOP] }), ['lost'])
})

test('a request that was read and not passed on is found when its connection ends long after it was sent', () => {
  for (const [endedAt, broken] of [[20_400, []], [20_600, ['lost']]] as const) assert.deepEqual(listBroken({ ...createLoss({ endedAt }), runs: [], disturbances: [STOP] }), broken)
})

test('a lost request is excused by its upstream, its time-out and an unplanned disturbance near', () => {
  const excused = [
    createLoss({}, { isBrokenOff: true }),
    createLoss({ endedAt: 22_100 }),
    createLoss()
  ]
  for (const record of excused) record.disturbances.push({ ...STOP })
  excused[2]!.disturbances.push({ host: 'entry-0', kind: 'SIGKILL', from: 10_000, to: 16_100 })
  for (const record of excused) assert.deepEqual(listBroken(record), [])
  excused[2]!.disturbances[1]!.to = 15_900
  assert.deepEqual(listBroken(excused[2]!), ['lost'])
})

test('requests on kept connections that are lost in calm times are found when they are more than three', () => {
  const record = createLoss()
  for (let number = 0; number < 3; number += 1) {
    assert.deepEqual(listBroken(record), [])
    addRun(record, addExchange(record, { end: AnswerEnd.None }).attempt)
  }
  assert.deepEqual(listBroken(record), ['lost'])
})
