import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import type { SheetInForce } from '../../src/agreement/sheets/SheetInForce.js'
import { applyDeltas } from '../../src/agreement/spread/applyDeltas.js'
import { composeDelta } from '../../src/agreement/spread/composeDelta.js'
import { DeltaHistory } from '../../src/agreement/spread/DeltaHistory.js'
import type { FetchReply } from '../../src/agreement/spread/FetchReply.js'
import type { DeltaPiece, SheetDelta } from '../../src/agreement/spread/SheetDelta.js'
import { SpreadCounter } from '../../src/agreement/spread/SpreadCounter.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { createContent, SpreadPair } from './support/SpreadPair.js'

const SEED = 20261204

const line = fc.constantFrom('a\n', 'b,1\n', 'ab\n', '\n', 'é😀\n', 'last without end', 'b,1')
const content = fc.array(line, { maxLength: 30 }).map((lines) => lines.join(''))

test('a delta turns any content into any other', () => {
  fc.assert(fc.property(content, content, (base, target) => {
    const pieces = JSON.parse(JSON.stringify(composeDelta(base, target))) as DeltaPiece[]
    const sheet = { number: 2, revision: 2, digest: digestOf(target), acceptedAt: 0 }
    const delta = { base: { revision: 1, digest: '' }, revision: 2, length: target.length, pieces }
    assert.equal(applyDeltas({ ...sheet, content: base }, sheet, [delta]), target)
  }), { seed: SEED, numRuns: 2_000 })
})

/** Events after sheet 2, the sheet in force after them, and the expected counts of the transfers. */
interface Scenario {
  name: string
  cause: (pair: SpreadPair) => Promise<unknown>
  newestNumber: number
  expectedCounts: Partial<Record<SpreadCounter, number>>
}

const scenarios: Scenario[] = [
  { name: 'nothing', cause: (pair) => pair.offerAndSettle(3), newestNumber: 3, expectedCounts: { [SpreadCounter.DeltaFetched]: 2 } },
  {
    name: 'a gap of some sheets',
    cause: async (pair) => {
      pair.isCut = true
      for (const number of [3, 4, 5, 6]) await pair.offerAndSettle(number)
      pair.isCut = false
      await pair.settle()
    },
    newestNumber: 6,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 2 }
  },
  {
    name: 'a gap of more sheets than retained deltas',
    cause: async (pair) => {
      pair.isCut = true
      for (let number = 3; number <= 70; number++) await pair.offerAndSettle(number)
      pair.isCut = false
      await pair.settle()
    },
    newestNumber: 70,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 1, [SpreadCounter.FullForUnknownBase]: 1 }
  },
  {
    name: 'a source that restarts and lacks the base',
    cause: async (pair) => {
      pair.source.spreader.stop()
      pair.startSource()
      await pair.offerAndSettle(3)
    },
    newestNumber: 3,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 1, [SpreadCounter.FullForUnknownBase]: 1 }
  },
  {
    name: 'a source that knows no deltas',
    cause: async (pair) => {
      pair.alterReply = async (reply) => reply.deltas === undefined ? reply : await pair.source.handlers.get(PeerMethod.FetchSheet)!({ offset: 0 }) as FetchReply
      await pair.offerAndSettle(3)
    },
    newestNumber: 3,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 1, [SpreadCounter.FullForUnknownBase]: 1 }
  },
  {
    name: 'a receiver that restarts with its disk',
    cause: async (pair) => {
      pair.receiver.spreader.stop()
      pair.startReceiver(pair.receiver.files.createSurvivor())
      await pair.settle()
      await pair.offerAndSettle(3)
    },
    newestNumber: 3,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 1, [SpreadCounter.FullWithoutBase]: 0 }
  },
  {
    name: 'a receiver that restarts without its disk',
    cause: async (pair) => {
      pair.receiver.spreader.stop()
      await pair.offerAndSettle(3)
      pair.startReceiver()
      await pair.settle()
    },
    newestNumber: 3,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 0, [SpreadCounter.FullWithoutBase]: 1 }
  },
  {
    name: 'a newer sheet that arrives while the delta is in transit',
    cause: async (pair) => {
      pair.alterReply = async (reply) => {
        if (reply.sheet?.number === 3) await pair.offerWithoutSettling(4, pair.receiver)
        return reply
      }
      await pair.offerAndSettle(3)
    },
    newestNumber: 4,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 2, [SpreadCounter.NotNewer]: 1 }
  },
  {
    name: 'a source that gets a newer sheet while the delta is in transit',
    cause: async (pair) => {
      pair.alterReply = async (reply) => {
        if (reply.sheet?.number === 3) await pair.offerWithoutSettling(4)
        return reply
      }
      await pair.offerAndSettle(3)
    },
    newestNumber: 4,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 3 }
  }
]

const corruptions: Array<[string, (delta: SheetDelta) => unknown]> = [
  ['a changed text', ({ pieces }) => pieces.map((piece) => typeof piece === 'string' ? piece.replace('3', '9') : piece)],
  ['a moved copy', ({ pieces }) => pieces.map((piece) => typeof piece === 'string' ? piece : [piece[0] + 1, piece[1]])],
  ['a lost piece', ({ pieces }) => pieces.slice(1)],
  ['a copy from outside', () => [[1e9, 5]]],
  ['a negative length', ({ pieces }) => [...pieces, [0, -1], 'x']],
  ['a huge copy', ({ pieces }) => [...pieces, [0, 1e12]]],
  ['no pieces', () => null]
]

for (const [name, corrupt] of corruptions) {
  scenarios.push({
    name: `a delta with ${name}`,
    cause: async (pair) => {
      pair.alterReply = (reply) => ({ ...reply, deltas: reply.deltas?.map((delta) => ({ ...delta, pieces: corrupt(delta) as DeltaPiece[] })) })
      await pair.offerAndSettle(3)
    },
    newestNumber: 3,
    expectedCounts: { [SpreadCounter.DeltaFetched]: 1, [SpreadCounter.FullForDeltaMismatch]: 1 }
  })
}

for (const { name, cause, newestNumber, expectedCounts } of scenarios) {
  test(`the newest sheet is in force, complete and durable, after ${name}`, async (context) => {
    const pair = new SpreadPair(context)
    await pair.settle()
    await pair.offerAndSettle(1)
    await pair.offerAndSettle(2)
    await cause(pair)
    assert.equal(pair.receiver.spreader.current()?.content, createContent(newestNumber))
    assert.deepEqual(pair.receiver.appliedRevisions, [...pair.receiver.appliedRevisions].sort((left, right) => left - right))
    for (const [counter, count] of Object.entries(expectedCounts)) assert.equal(pair.receiver.counters.read(counter), count, counter)
    pair.isCut = true
    const restarted = pair.startReceiver(pair.receiver.files.createSurvivor())
    await pair.settle(100)
    assert.equal(restarted.spreader.current()?.content, createContent(newestNumber))
  })
}

test('a changed row is sent in some hundred characters, and a host with the newest sheet is sent nothing', async (context) => {
  const pair = new SpreadPair(context)
  await pair.settle()
  await pair.offerAndSettle(1)
  const fullCharacters = pair.fetchedCharacters
  await pair.offerAndSettle(2)
  const delta = pair.fetchedCharacters - fullCharacters
  assert.ok(fullCharacters > 2_000 && delta < 600, `${fullCharacters} and ${delta} characters`)
})

test('a rewritten sheet is sent in full, since that is shorter', async (context) => {
  const pair = new SpreadPair(context)
  await pair.settle()
  await pair.offerAndSettle(1)
  const content = createContent(1).replaceAll('guests', 'visitors').replace('sheet,1', 'sheet,2')
  await pair.source.spreader.offer({ number: 2, revision: 2, digest: digestOf(content), acceptedAt: 0, content })
  await pair.settle()
  assert.equal(pair.receiver.spreader.current()?.content, content)
  assert.equal(pair.receiver.counters.read(SpreadCounter.FullForUnknownBase), 1)
})

const base = createSheetInForce(1, 'a\nb\n')

function createSheetInForce (revision: number, content: string): SheetInForce {
  return { number: revision, revision, digest: digestOf(content), acceptedAt: 0, content }
}

const inconsistentDeltas: Array<[string, string, Pick<SheetDelta, 'length' | 'pieces'>]> = [
  ['more text than its length', 'a\nb\na\nb\n', { length: 4, pieces: [[0, 4], [0, 4]] }],
  ['a negative length', 'a\nb\nc', { length: 4, pieces: [[0, 4], 'c', [0, -1]] }]
]

for (const [name, text, delta] of inconsistentDeltas) {
  test(`a delta with ${name} is refused, even if its result has the right digest`, () => {
    assert.equal(applyDeltas(base, createSheetInForce(2, text), [{ base, revision: 2, ...delta }]), undefined)
  })
}

test('a bounded number of deltas is retained, the latest ones', () => {
  const history = new DeltaHistory()
  const sheets = Array.from({ length: 81 }, (_, revision) => createSheetInForce(revision, `${revision}\n`))
  for (let revision = 1; revision <= 80; revision++) history.add(sheets[revision - 1], sheets[revision]!)
  assert.equal(history.listSince(sheets[15]!, Infinity), undefined)
  const deltas = history.listSince(sheets[16]!, Infinity)!
  assert.equal(deltas.length, 64)
  assert.equal(applyDeltas(sheets[16]!, sheets[80]!, deltas), '80\n')
  assert.equal(history.listSince({ ...sheets[16]!, digest: 'other' }, Infinity), undefined)
  history.add(sheets[80], createSheetInForce(81, 'x'.repeat(300_000)))
  assert.equal(history.listSince(sheets[80]!, Infinity), undefined)
})
