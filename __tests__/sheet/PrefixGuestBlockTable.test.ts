import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { formatGuestBlock } from '../../src/sheet/formatGuestBlock.js'
import { AddressFamily, type GuestBlock } from '../../src/sheet/GuestBlock.js'
import { GuestBlockTableBuilder } from '../../src/sheet/GuestBlockTableBuilder.js'
import { maskWord } from '../../src/sheet/maskWord.js'
import { parseGuestBlock } from '../../src/sheet/parseGuestBlock.js'

const PROPERTY_PARAMETERS = { seed: 20261204, numRuns: 300 }
const WORDS_PER_ADDRESS = { [AddressFamily.IPv4]: 1, [AddressFamily.IPv6]: 4 }

/** Words from a small set, so that blocks are nested and addresses fall on their boundaries. */
const wordArbitrary = fc.constantFrom(0, 1, 0x80000000, 0x80000001, 0xc0000200, 0xc00002ff, 0xffffffff, 0x20010db8, 0xffff)

function createBlockArbitrary (family: AddressFamily): fc.Arbitrary<GuestBlock> {
  const wordCount = WORDS_PER_ADDRESS[family]
  return fc.record({ words: fc.array(wordArbitrary, { minLength: wordCount, maxLength: wordCount }), length: fc.integer({ min: 0, max: wordCount * 32 }) })
    .map(({ words, length }) => ({ family, length, words: words.map((value, index) => maskWord(value, index, length)) }))
}

const familyArbitrary = fc.constantFrom(AddressFamily.IPv4, AddressFamily.IPv6)
const blockArbitrary = familyArbitrary.chain(createBlockArbitrary)
const addressArbitrary = familyArbitrary.chain((family) => fc.array(wordArbitrary, { minLength: WORDS_PER_ADDRESS[family], maxLength: WORDS_PER_ADDRESS[family] }).map((words) => ({ family, words })))

function containsAddress (block: GuestBlock, family: AddressFamily, words: number[]): boolean {
  return block.family === family && words.every((value, index) => maskWord(value, index, block.length) === block.words[index])
}

test('the table finds the same place as a linear search for the longest matching block', () => {
  fc.assert(fc.property(fc.array(blockArbitrary, { maxLength: 60 }), fc.array(addressArbitrary, { minLength: 1, maxLength: 20 }), (blocks, addresses) => {
    const unique = [...new Map(blocks.map((entry) => [formatGuestBlock(entry), entry])).entries()]
    const builder = new GuestBlockTableBuilder()
    for (const [text, entry] of unique) builder.add(entry, `place of ${text}`)
    const table = builder.build()
    assert.equal(table.size, unique.length)
    for (const { family, words } of addresses) {
      const matches = unique.filter(([, entry]) => containsAddress(entry, family, words)).sort((left, right) => right[1].length - left[1].length)
      const text = formatGuestBlock({ family, words, length: 0 }).replace('/0', '')
      // The table looks up an IPv4-mapped IPv6 address as IPv4; the linear search above does not.
      if (text.startsWith('::ffff:')) continue
      assert.equal(table.findPlace(text), matches[0] && `place of ${matches[0][0]}`, text)
    }
  }), PROPERTY_PARAMETERS)
})

test('a table lists all of its blocks, and their text form parses to the same blocks', () => {
  fc.assert(fc.property(fc.uniqueArray(blockArbitrary, { maxLength: 40, selector: formatGuestBlock }), (blocks) => {
    const builder = new GuestBlockTableBuilder()
    for (const entry of blocks) builder.add(entry, 'one')
    const listed = [...builder.build().blocks()].map(formatGuestBlock)
    assert.deepEqual(listed.toSorted(), blocks.map(formatGuestBlock).toSorted())
    for (const text of listed.filter((text) => !text.startsWith('::ffff:'))) assert.equal(formatGuestBlock(parseGuestBlock(text) as GuestBlock), text)
  }), PROPERTY_PARAMETERS)
})

const LOOKUPS: Array<{ address: string, place: string | undefined }> = [
  { address: '10.1.2.3', place: 'inner' },
  { address: '10.1.3.0', place: 'outer' },
  { address: '10.255.255.255', place: 'outer' },
  { address: '11.0.0.0', place: undefined },
  { address: '::ffff:10.1.2.3', place: 'inner' },
  { address: '2001:db8::1', place: 'six' },
  { address: '2001:db8::2', place: undefined },
  { address: 'fe80::1%eth0', place: 'link' },
  { address: '10.1.2', place: undefined },
  { address: '010.1.2.3', place: undefined },
  { address: 'gijon', place: undefined },
  { address: '', place: undefined }
]

for (const { address, place } of LOOKUPS) {
  test(`guest address ${JSON.stringify(address)} is found in ${place ?? 'no block'}`, () => {
    const builder = new GuestBlockTableBuilder()
    const blocks = [['10.0.0.0/8', 'outer'], ['10.1.2.0/24', 'inner'], ['2001:db8::1/128', 'six'], ['fe80::/10', 'link']] as const
    for (const [text, name] of blocks) builder.add(parseGuestBlock(text) as GuestBlock, name)
    assert.equal(builder.build().findPlace(address), place)
  })
}
