import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { formatSheetFault, parseSheet, PlaceState, RequestClass, SheetProblem } from '../../src/hibiscusrelay.js'
import { MAXIMUM_SHEET_BYTES, MAXIMUM_SHEET_ROWS } from '../../src/sheet/sheetLimits.js'
import { HEADER, createSheetText, VALID_ROWS } from './createSheetText.js'

interface FaultCase {
  name: string
  /** Line of the valid sheet that is replaced. */
  replacedLine: number
  /** Text of the replacement; empty removes the line. */
  replacement: string
  problem: SheetProblem
  line: number
  column: number
}

const FAULT_CASES: FaultCase[] = [
  { name: 'no sheet number', replacedLine: 2, replacement: '', problem: SheetProblem.MissingSheetNumber, line: 1, column: 1 },
  { name: 'sheet number zero', replacedLine: 2, replacement: 'sheet,,,,,,,,0,,', problem: SheetProblem.NumberOutOfRange, line: 2, column: 9 },
  { name: 'sheet number with a leading zero', replacedLine: 2, replacement: 'sheet,,,,,,,,07,,', problem: SheetProblem.InvalidNumber, line: 2, column: 9 },
  { name: 'sheet number twice', replacedLine: 2, replacement: 'sheet,,,,,,,,7,,\nsheet,,,,,,,,8,,', problem: SheetProblem.DuplicateRecord, line: 3, column: 1 },
  { name: 'unknown class', replacedLine: 3, replacement: 'service,desk,sometimes,,,,,,,,', problem: SheetProblem.InvalidChoice, line: 3, column: 3 },
  { name: 'service twice', replacedLine: 3, replacement: 'service,desk,one-time,,,,,,,,\nservice,desk,one-time,,,,,,,,', problem: SheetProblem.DuplicateRecord, line: 4, column: 2 },
  { name: 'upper-case name', replacedLine: 3, replacement: 'service,Desk,one-time,,,,,,,,\nservice,desk,one-time,,,,,,,,', problem: SheetProblem.InvalidName, line: 3, column: 2 },
  { name: 'unknown state', replacedLine: 4, replacement: 'place,,,,north,domain-1,region-1,,,,closed', problem: SheetProblem.InvalidChoice, line: 4, column: 11 },
  { name: 'place twice', replacedLine: 4, replacement: `${VALID_ROWS[2]}\n${VALID_ROWS[2]}`, problem: SheetProblem.DuplicateRecord, line: 5, column: 5 },
  { name: 'two places in one failure domain', replacedLine: 4, replacement: `${VALID_ROWS[2]}\nplace,,,,west,domain-1,region-1,,,,open`, problem: SheetProblem.DomainHasPlace, line: 5, column: 6 },
  { name: 'failure domain in two regions', replacedLine: 4, replacement: `${VALID_ROWS[2]}\nplace,,,,west,domain-1,region-2,,,,open`, problem: SheetProblem.DomainHasPlace, line: 5, column: 6 },
  { name: 'link with an unknown region', replacedLine: 6, replacement: `${VALID_ROWS[4]}\nlink,,,,,,region-1,region-9,1,Mbit/s,`, problem: SheetProblem.UnknownRegion, line: 7, column: 8 },
  { name: 'link of a region with itself', replacedLine: 6, replacement: `${VALID_ROWS[4]}\nlink,,,,,,region-1,region-1,1,Mbit/s,`, problem: SheetProblem.SameRegion, line: 7, column: 8 },
  { name: 'link given again in the other direction', replacedLine: 6, replacement: `${VALID_ROWS[4]}\nlink,,,,,,region-2,region-1,280,Mbit/s,`, problem: SheetProblem.DuplicateRecord, line: 7, column: 8 },
  { name: 'no link between two regions', replacedLine: 6, replacement: '', problem: SheetProblem.MissingLink, line: 5, column: 7 },
  { name: 'wrong unit', replacedLine: 6, replacement: 'link,,,,,,region-1,region-2,280,Mbyte/s,', problem: SheetProblem.InvalidChoice, line: 6, column: 10 },
  { name: 'block without a length', replacedLine: 7, replacement: 'guests,,,192.0.2.0,north,,,,,,', problem: SheetProblem.InvalidGuestBlock, line: 7, column: 4 },
  { name: 'block with a length too large', replacedLine: 7, replacement: 'guests,,,192.0.2.0/33,north,,,,,,', problem: SheetProblem.InvalidGuestBlock, line: 7, column: 4 },
  { name: 'block with a leading zero', replacedLine: 7, replacement: 'guests,,,192.0.2.0/024,north,,,,,,', problem: SheetProblem.InvalidGuestBlock, line: 7, column: 4 },
  { name: 'IPv4 block mapped into IPv6', replacedLine: 7, replacement: 'guests,,,::ffff:192.0.2.0/24,north,,,,,,', problem: SheetProblem.InvalidGuestBlock, line: 7, column: 4 },
  { name: 'host bits set in IPv4', replacedLine: 7, replacement: 'guests,,,192.0.2.1/24,north,,,,,,', problem: SheetProblem.HostBitsSet, line: 7, column: 4 },
  { name: 'host bits set in IPv6', replacedLine: 8, replacement: 'guests,,,2001:db8::1/32,north,,,,,,', problem: SheetProblem.HostBitsSet, line: 8, column: 4 },
  { name: 'same block in another notation', replacedLine: 8, replacement: `${VALID_ROWS[6]}\nguests,,,2001:0db8:0::/32,north,,,,,,`, problem: SheetProblem.DuplicateRecord, line: 9, column: 4 },
  { name: 'guests of an unknown place', replacedLine: 7, replacement: 'guests,,,192.0.2.0/24,nowhere,,,,,,', problem: SheetProblem.UnknownPlace, line: 7, column: 5 },
  { name: 'placement of an unknown service', replacedLine: 9, replacement: `${VALID_ROWS[7]}\nplacement,shop,,*,north,,,,1,share,`, problem: SheetProblem.UnknownService, line: 10, column: 2 },
  { name: 'placement for an unknown guest place', replacedLine: 9, replacement: `${VALID_ROWS[7]}\nplacement,desk,,nowhere,north,,,,1,share,`, problem: SheetProblem.UnknownPlace, line: 10, column: 4 },
  { name: 'placement twice', replacedLine: 9, replacement: `${VALID_ROWS[7]}\n${VALID_ROWS[7]}`, problem: SheetProblem.DuplicateRecord, line: 10, column: 5 },
  { name: 'negative share', replacedLine: 9, replacement: 'placement,desk,,north,north,,,,-1,share,', problem: SheetProblem.InvalidNumber, line: 9, column: 9 },
  { name: 'fractional share', replacedLine: 9, replacement: 'placement,desk,,north,north,,,,0.5,share,', problem: SheetProblem.InvalidNumber, line: 9, column: 9 },
  { name: 'empty share', replacedLine: 9, replacement: 'placement,desk,,north,north,,,,,share,', problem: SheetProblem.EmptyCell, line: 9, column: 9 },
  { name: 'service without placements for all guests', replacedLine: 11, replacement: '', problem: SheetProblem.MissingDefaultPlacement, line: 3, column: 2 },
  { name: 'cap of an open place missing', replacedLine: 12, replacement: '', problem: SheetProblem.MissingCap, line: 9, column: 5 },
  { name: 'cap of zero', replacedLine: 12, replacement: 'cap,desk,,,north,,,,0,requests/s,', problem: SheetProblem.NumberOutOfRange, line: 12, column: 9 },
  { name: 'cap twice', replacedLine: 12, replacement: `${VALID_ROWS[10]}\n${VALID_ROWS[10]}`, problem: SheetProblem.DuplicateRecord, line: 13, column: 5 },
  { name: 'only place of a placement draining', replacedLine: 5, replacement: 'place,,,,south,domain-2,region-2,,,,draining', problem: SheetProblem.NoOpenPlace, line: 11, column: 5 },
  { name: 'unknown kind of record', replacedLine: 13, replacement: `${VALID_ROWS[11]}\nremark,,,,,,,,,,`, problem: SheetProblem.UnknownRecord, line: 14, column: 1 },
  { name: 'cell that the record does not use', replacedLine: 13, replacement: 'cap,desk,,,south,domain-2,,,50,requests/s,', problem: SheetProblem.UnusedCell, line: 13, column: 6 },
  { name: 'missing cell', replacedLine: 13, replacement: `${VALID_ROWS[11]}\ncap,desk,,,south`, problem: SheetProblem.WrongCellCount, line: 14, column: 6 },
  { name: 'surplus cell', replacedLine: 13, replacement: `${VALID_ROWS[11]}\n${VALID_ROWS[11]},`, problem: SheetProblem.WrongCellCount, line: 14, column: 12 }
]

for (const { name, replacedLine, replacement, problem, line, column } of FAULT_CASES) {
  test(`sheet fault is reported at its line and column: ${name}`, () => {
    const { sheet, faults } = parseSheet(createSheetText(replacedLine, replacement))
    assert.equal(sheet, undefined)
    assert.deepEqual(faults.map((fault) => [fault.problem, fault.line, fault.column]), [[problem, line, column]], faults.map(formatSheetFault).join('\n'))
    assert.notEqual(faults[0]!.allowed, '')
  })
}

const FILE_CASES: Array<{ name: string, content: string | Buffer, problems: SheetProblem[] }> = [
  { name: 'empty', content: '', problems: [SheetProblem.NoHeader] },
  { name: 'header only', content: HEADER, problems: [SheetProblem.MissingSheetNumber, SheetProblem.NoService, SheetProblem.NoPlace] },
  { name: 'unknown, repeated and missing columns', content: HEADER.replace('unit,state', 'place,colour'), problems: [SheetProblem.RepeatedColumn, SheetProblem.UnknownColumn, SheetProblem.MissingColumn, SheetProblem.MissingColumn] },
  { name: 'not UTF-8', content: Buffer.from([0x72, 0xff, 0xfe]), problems: [SheetProblem.NotUtf8] },
  { name: 'unterminated quote', content: createSheetText(13, 'cap,desk,,,"south,,,,50,requests/s,'), problems: [SheetProblem.MalformedCsv] },
  { name: 'too many bytes', content: Buffer.alloc(MAXIMUM_SHEET_BYTES + 1, 'a'), problems: [SheetProblem.TooLarge] },
  { name: 'too many rows', content: `${HEADER}\n${'a\n'.repeat(MAXIMUM_SHEET_ROWS + 1)}`, problems: [SheetProblem.TooManyRows] }
]

for (const { name, content, problems } of FILE_CASES) {
  test(`file is rejected: ${name}`, () => {
    const { sheet, faults } = parseSheet(content)
    assert.equal(sheet, undefined)
    assert.deepEqual(faults.map((fault) => fault.problem), problems)
  })
}

test('all faults of a sheet are reported together, in the order of the file', () => {
  const text = createSheetText(4, 'place,,,,north,domain-1,region-1,,,,shut').replace('192.0.2.0/24', '192.0.2.9/24').replace('100,requests/s', '1e2,requests/s')
  assert.deepEqual(parseSheet(text).faults.map(formatSheetFault), [
    'line 4, column 11 (state): unknown value, found "shut"; allowed: open, draining',
    'line 7, column 4 (guests): the block has bits set beyond its length, found "192.0.2.9/24"; allowed: 192.0.2.0/24',
    'line 12, column 9 (amount): not a whole number in plain digits, found "1e2"; allowed: 1 to 10000000, digits only, no leading zero'
  ])
})

test('every record of a valid sheet is read', () => {
  const { sheet, faults } = parseSheet(createSheetText())
  assert.deepEqual(faults, [])
  assert.equal(sheet!.number, 7)
  assert.equal(sheet!.digest, createHash('sha256').update(createSheetText()).digest('hex'))
  assert.deepEqual([...sheet!.services.values()], [{ name: 'desk', requestClass: RequestClass.OneTime }])
  assert.deepEqual(sheet!.places.get('south'), { name: 'south', failureDomain: 'domain-2', region: 'region-2', state: PlaceState.Open })
  assert.deepEqual(sheet!.placements[1], { service: 'desk', guestPlace: 'north', place: 'south', share: 10 })
  assert.deepEqual(sheet!.caps[0], { service: 'desk', place: 'north', requestsPerSecond: 100 })
  assert.deepEqual(sheet!.links, [{ fromRegion: 'region-1', toRegion: 'region-2', megabitsPerSecond: 280 }])
  assert.equal(sheet!.guestBlocks.findPlace('192.0.2.77'), 'north')
})

const FORMAT_VARIANTS: Array<{ name: string, content: string }> = [
  { name: 'byte order mark and CRLF', content: '\ufeff' + createSheetText().replaceAll('\n', '\r\n') },
  { name: 'quoted cells', content: createSheetText().replaceAll('north', '"north"') },
  { name: 'semicolons', content: createSheetText().replaceAll(',', ';') },
  { name: 'spaces around cells', content: createSheetText().replaceAll(',', ' , ') },
  { name: 'blank rows', content: createSheetText().replaceAll('\n', '\n,,,,,,,,,,\n\n') },
  { name: 'columns in another order', content: createSheetText().split('\n').map((line) => line.split(',').reverse().join(',')).join('\n') },
  { name: 'no line end after the last row', content: createSheetText().trimEnd() }
]

for (const { name, content } of FORMAT_VARIANTS) {
  test(`format variant of spreadsheets is accepted: ${name}`, () => {
    const { sheet, faults } = parseSheet(Buffer.from(content))
    assert.deepEqual(faults, [])
    assert.deepEqual(sheet!.placements, parseSheet(createSheetText()).sheet!.placements)
  })
}

test('line numbers count CRLF, blank lines and quoted line ends', () => {
  const text = createSheetText(13, '\n\ncap,desk,,,"so\nuth",,,,50,requests/s,\nremark,,,,,,,,,,').replaceAll('\n', '\r\n')
  const positions = parseSheet(text).faults.map((fault) => [fault.line, fault.column])
  assert.deepEqual(positions, [[10, 5], [15, 5], [17, 1]])
})

for (const name of ['megafonia', 'rikkszerviz']) {
  test(`example sheets of ${name} are valid`, () => {
    for (const number of [1, 2]) {
      const { sheet, faults } = parseSheet(readFileSync(`examples/${name}/sheet-${number}.csv`))
      assert.deepEqual(faults.map(formatSheetFault), [])
      assert.equal(sheet!.number, number)
    }
  })
}

test('the sheet in the manual is valid', () => {
  const [, content] = readFileSync('docs/operations/sheet.md', 'utf8').split(/```(?:csv\n)?/)
  assert.deepEqual(parseSheet(content!).faults.map(formatSheetFault), [])
})
