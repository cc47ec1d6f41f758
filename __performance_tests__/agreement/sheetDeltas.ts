/**
 * Measures the cost of a change of one row with full packed sheets, with deltas by row and with chunks by digest.
 *
 *     node build/__performance_tests__/agreement/sheetDeltas.js --seed 1 --rows 1000,10000,50000
 */
import { parseArgs } from 'node:util'
import { constants, gzipSync } from 'node:zlib'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { unpackContent } from '../../src/agreement/sheets/packContent.js'
import { applyDeltas } from '../../src/agreement/spread/applyDeltas.js'
import { DeltaHistory } from '../../src/agreement/spread/DeltaHistory.js'
import { parseSheet } from '../../src/hibiscusrelay.js'
import { fitSlope } from '../support/fitSlope.js'
import { countChunkCharacters } from './support/chunkByContent.js'
import { createSeededRandom } from './support/LocalReplicas.js'

const RUNS = 15
const PARSING_RUNS = 3

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' }, rows: { type: 'string', default: '1000,10000,50000' } } })
const random = createSeededRandom(Number(values.seed))

/** @returns median processor time of the runs, in milliseconds */
function measureProcessorMilliseconds (run: () => unknown, runs = RUNS): number {
  const runTimes = Array.from({ length: runs }, () => {
    const before = process.cpuUsage()
    run()
    const used = process.cpuUsage(before)
    return (used.user + used.system) / 1_000
  })
  return runTimes.sort((left, right) => left - right)[runs >> 1]!
}

function makeRows (rows: number): string[] {
  return Array.from({ length: rows }, (_, index) => `guests,,,10.${index >> 8}.${index & 255}.0/24,place-${Math.floor(random() * 12)},,,,,,\n`)
}

function createSheetInForce (number: number, rows: string[]) {
  const content = `section,service,class,block,place,domain,region,to,amount,unit,state\nsheet,,,,,,,,${number},,\n${rows.join('')}`
  return { number, revision: number, digest: digestOf(content), acceptedAt: 0, content }
}

/** @returns figures of a change of one row in a sheet of some rows, by printed name */
function measureRowChange (rows: number): Record<string, number> {
  const oldRows = makeRows(rows)
  const changedIndex = Math.floor(random() * rows)
  const newRows = oldRows.map((row, index) => index === changedIndex ? row.replace(/place-\d+/, 'place-99') : row)
  const [before, after] = [createSheetInForce(1, oldRows), createSheetInForce(2, newRows)]
  const packed = gzipSync(after.content).toString('base64')
  const fastPacked = gzipSync(after.content, { level: constants.Z_BEST_SPEED }).toString('base64')
  const composeDeltas = () => {
    const history = new DeltaHistory()
    history.add(before, after)
    return history.listSince(before, Infinity)!
  }
  const deltas = composeDeltas()
  if (applyDeltas(before, after, deltas) !== after.content) throw new Error('applying the deltas to the old sheet does not give the new sheet')
  return {
    rows,
    contentBytes: Buffer.byteLength(after.content),
    packedCharacters: packed.length,
    fastPackedCharacters: fastPacked.length,
    deltaCharacters: JSON.stringify(deltas).length,
    chunkCharacters: countChunkCharacters(before.content, after.content),
    unpackAndDigestMilliseconds: measureProcessorMilliseconds(() => digestOf(unpackContent(packed))),
    composeMilliseconds: measureProcessorMilliseconds(composeDeltas),
    applyAndDigestMilliseconds: measureProcessorMilliseconds(() => applyDeltas(before, after, deltas)),
    packMilliseconds: measureProcessorMilliseconds(() => gzipSync(after.content)),
    fastPackMilliseconds: measureProcessorMilliseconds(() => gzipSync(after.content, { level: constants.Z_BEST_SPEED }).toString('base64')),
    chunkMilliseconds: measureProcessorMilliseconds(() => countChunkCharacters(before.content, after.content)),
    parseMilliseconds: measureProcessorMilliseconds(() => parseSheet(Buffer.from(after.content)), PARSING_RUNS)
  }
}

const figures = values.rows.split(',').map((rows) => measureRowChange(Number(rows)))
for (const row of figures) console.log(JSON.stringify(row))
for (const name of Object.keys(figures[0]!).filter((key) => key !== 'rows')) {
  console.log(`${name} per further row: ${fitSlope(figures.map((row) => ({ x: row.rows!, y: row[name]! })))}`)
}
