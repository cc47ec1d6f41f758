/**
 * Measures what a change of one row costs with whole packed sheets, with deltas by row and with chunks by digest.
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
import { measureChunks } from './support/chunkByContent.js'
import { seededRandom } from './support/LocalReplicas.js'

const RUNS = 15
const PARSING_RUNS = 3

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' }, rows: { type: 'string', default: '1000,10000,50000' } } })
const random = seededRandom(Number(values.seed))

/** @returns processor milliseconds of one run, the median of some */
function timeOf (run: () => unknown, runs = RUNS): number {
  const times = Array.from({ length: runs }, () => {
    const before = process.cpuUsage()
    run()
    const used = process.cpuUsage(before)
    return (used.user + used.system) / 1_000
  })
  return times.sort((left, right) => left - right)[runs >> 1]!
}

function makeRows (rows: number): string[] {
  return Array.from({ length: rows }, (_, index) => `guests,,,10.${index >> 8}.${index & 255}.0/24,place-${Math.floor(random() * 12)},,,,,,\n`)
}

function inForceOf (number: number, rows: string[]) {
  const content = `section,service,class,block,place,domain,region,to,amount,unit,state\nsheet,,,,,,,,${number},,\n${rows.join('')}`
  return { number, revision: number, digest: digestOf(content), acceptedAt: 0, content }
}

function measure (rows: number): Record<string, number> {
  const old = makeRows(rows)
  const place = Math.floor(random() * rows)
  const changed = old.map((row, index) => index === place ? row.replace(/place-\d+/, 'place-99') : row)
  const [before, after] = [inForceOf(1, old), inForceOf(2, changed)]
  const packed = gzipSync(after.content).toString('base64')
  const packedFast = gzipSync(after.content, { level: constants.Z_BEST_SPEED }).toString('base64')
  const compose = () => {
    const history = new DeltaHistory()
    history.add(before, after)
    return history.listSince(before, Infinity)!
  }
  const deltas = compose()
  if (applyDeltas(before, after, deltas) !== after.content) throw new Error('the delta does not lead to the sheet')
  return {
    rows,
    contentBytes: Buffer.byteLength(after.content),
    packedCharacters: packed.length,
    fastPackedCharacters: packedFast.length,
    deltaCharacters: JSON.stringify(deltas).length,
    chunkCharacters: measureChunks(before.content, after.content),
    unpackAndDigestMilliseconds: timeOf(() => digestOf(unpackContent(packed))),
    composeMilliseconds: timeOf(compose),
    applyAndDigestMilliseconds: timeOf(() => applyDeltas(before, after, deltas)),
    packMilliseconds: timeOf(() => gzipSync(after.content)),
    fastPackMilliseconds: timeOf(() => gzipSync(after.content, { level: constants.Z_BEST_SPEED }).toString('base64')),
    chunkMilliseconds: timeOf(() => measureChunks(before.content, after.content)),
    parseMilliseconds: timeOf(() => parseSheet(Buffer.from(after.content)), PARSING_RUNS)
  }
}

const figures = values.rows.split(',').map((rows) => measure(Number(rows)))
for (const row of figures) console.log(JSON.stringify(row))
for (const name of Object.keys(figures[0]!).filter((key) => key !== 'rows')) {
  console.log(`${name} per further row: ${fitSlope(figures.map((row) => ({ x: row.rows!, y: row[name]! })))}`)
}
