import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MAXIMUM_PAUSE_MILLISECONDS, parseRetryAfter } from '../../src/relay/parseRetryAfter.js'

const values: Array<[string, number | undefined]> = [
  ['0', 0],
  ['6', 6_000],
  [' 1.5 ', 1_500],
  ['0.0004', 1],
  ['120', 120_000],
  ['99999999999999999999', MAXIMUM_PAUSE_MILLISECONDS],
  ['9'.repeat(400), MAXIMUM_PAUSE_MILLISECONDS],
  ['-1', undefined],
  ['', undefined],
  ['soon', undefined],
  ['1e9', undefined],
  ['0x10', undefined],
  ['1,5', undefined],
  ['NaN', undefined],
  ['Wed, 21 Oct 2026 07:28:00 GMT', undefined]
]

test('a pause is read from seconds with or without a fraction, bounded, and nothing else is taken for one', () => {
  for (const [value, expected] of values) assert.equal(parseRetryAfter(value), expected, value)
})
