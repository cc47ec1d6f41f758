/**
 * Measures memory and look-ups of the guest block table at several sizes, and the time to parse sheets.
 * Run: `node build/__performance_tests__/guestBlockTable.js`
 */
import { pathToFileURL } from 'node:url'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { AddressFamily } from '../src/sheet/GuestBlock.js'
import { GuestBlockTableBuilder } from '../src/sheet/GuestBlockTableBuilder.js'
import type { PrefixGuestBlockTable } from '../src/sheet/PrefixGuestBlockTable.js'
import { collectGarbage } from './support/collectGarbage.js'
import { fitSlope } from './support/fitSlope.js'
import { measureSheetParsing } from './support/measureSheetParsing.js'

const SEED = 20261204
const PLACE_COUNT = 1_100
const LOOKUP_COUNT = 200_000
const PARSED_BLOCK_COUNTS = [5_000, 20_000, 49_000]
const DEFAULT_SIZES = [50_000, 200_000, 800_000, 3_200_000]

/** Fraction of the blocks that have one prefix length. */
interface PrefixLengthFraction {
  family: AddressFamily
  length: number
  fraction: number
}

const PREFIX_LENGTH_FRACTIONS: PrefixLengthFraction[] = [
  { family: AddressFamily.IPv4, length: 24, fraction: 0.5 },
  { family: AddressFamily.IPv4, length: 22, fraction: 0.2 },
  { family: AddressFamily.IPv4, length: 20, fraction: 0.1 },
  { family: AddressFamily.IPv6, length: 48, fraction: 0.15 },
  { family: AddressFamily.IPv6, length: 40, fraction: 0.05 }
]

/** Figures of a table of one size. */
export interface GuestBlockTableFigures {
  blocks: number
  buildMilliseconds: number
  arrayBytes: number
  /** Memory of the table in array buffers and on the heap, after a garbage collection. */
  heldBytes: number
  bytesPerBlock: number
  lookupsPerSecond: number
  /** Fraction of the looked-up addresses that lie in a block. */
  hitRatio: number
}

/** Figures of all sizes, and the growth of memory. */
export interface GuestBlockTableReport {
  sizes: GuestBlockTableFigures[]
  /** Bytes per further block, by a least-squares line; NaN with fewer than two sizes. */
  heldBytesPerBlockSlope: number
}

/**
 * Measures the table at several sizes with seeded blocks.
 *
 * @param sizes - numbers of blocks, one for each table
 * @returns figures of each size and the growth of memory
 */
export function measureGuestBlockTable (sizes: number[] = DEFAULT_SIZES): GuestBlockTableReport {
  const figures = sizes.map(measureSize)
  const slope = figures.length < 2 ? NaN : fitSlope(figures.map(({ blocks, heldBytes }) => ({ x: blocks, y: heldBytes })))
  return { sizes: figures, heldBytesPerBlockSlope: slope }
}

function measureSize (size: number): GuestBlockTableFigures {
  collectGarbage()
  const heldBytesBefore = measureHeldBytes()
  const start = performance.now()
  const table = buildTable(size)
  const buildMilliseconds = performance.now() - start
  collectGarbage()
  const tableHeldBytes = measureHeldBytes() - heldBytesBefore
  return {
    blocks: table.size,
    buildMilliseconds,
    arrayBytes: table.byteLength,
    heldBytes: tableHeldBytes,
    bytesPerBlock: tableHeldBytes / table.size,
    ...measureLookups(table)
  }
}

function buildTable (size: number): PrefixGuestBlockTable {
  const builder = new GuestBlockTableBuilder()
  const placeNames = Array.from({ length: PLACE_COUNT }, (_, index) => `place-${index}`)
  const random = xoroshiro128plus(SEED)
  for (const { family, length, fraction } of PREFIX_LENGTH_FRACTIONS) {
    const count = Math.round(size * fraction)
    const multiplier = uniformInt(random, 1 << 20, 1 << 24) | 1
    const words = family === AddressFamily.IPv4 ? [0] : [0, 0, 0, 0]
    const block = { family, length, words }
    for (let index = 0; index < count; index++) {
      fillPrefix(words, length, Math.imul(index, multiplier))
      builder.add(block, placeNames[uniformInt(random, 0, PLACE_COUNT - 1)]!)
    }
  }
  return builder.build()
}

/**
 * Writes a prefix into the words of an address. The caller multiplies the index by an odd number, which permutes the numbers
 * below each power of two, so that no prefix occurs twice.
 */
function fillPrefix (words: number[], length: number, scatteredIndex: number): void {
  if (words.length === 1) {
    words[0] = (scatteredIndex << (32 - length)) >>> 0
    return
  }
  words[0] = (0x20000000 | (scatteredIndex >>> 16 & 0xffff)) >>> 0
  words[1] = (scatteredIndex << (64 - length)) >>> 0
}

function measureLookups (table: PrefixGuestBlockTable): { lookupsPerSecond: number, hitRatio: number } {
  const random = xoroshiro128plus(SEED + 1)
  const pickByte = () => uniformInt(random, 0, 255)
  const addresses = Array.from({ length: LOOKUP_COUNT }, (_, index) => index % 4 === 3
    ? `2000:${pickByte().toString(16)}:${pickByte().toString(16)}00::${pickByte().toString(16)}`
    : `${pickByte()}.${pickByte()}.${pickByte()}.${pickByte()}`)
  let hits = 0
  const start = performance.now()
  for (const address of addresses) if (table.findPlace(address) !== undefined) hits++
  const seconds = (performance.now() - start) / 1000
  return { lookupsPerSecond: LOOKUP_COUNT / seconds, hitRatio: hits / LOOKUP_COUNT }
}

function measureHeldBytes (): number {
  const { arrayBuffers, heapUsed } = process.memoryUsage()
  return arrayBuffers + heapUsed
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  const report = measureGuestBlockTable()
  console.log(`seed ${SEED}, node ${process.version}`)
  for (const figures of report.sizes) {
    console.log([
      `blocks=${figures.blocks}`,
      `build_ms=${figures.buildMilliseconds.toFixed(0)}`,
      `array_bytes=${figures.arrayBytes}`,
      `held_bytes=${figures.heldBytes}`,
      `bytes_per_block=${figures.bytesPerBlock.toFixed(2)}`,
      `lookups_per_second=${figures.lookupsPerSecond.toFixed(0)}`,
      `hit_ratio=${figures.hitRatio.toFixed(3)}`
    ].join(' '))
  }
  console.log(`held_bytes_per_block_slope=${report.heldBytesPerBlockSlope.toFixed(3)}`)
  for (const { rows, bytes, milliseconds } of measureSheetParsing(PARSED_BLOCK_COUNTS)) {
    console.log(`sheet_rows=${rows} bytes=${bytes} parse_ms=${milliseconds.toFixed(0)}`)
  }
}
