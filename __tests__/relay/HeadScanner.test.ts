import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { HeadScanner, type ScannedPart } from '../../src/relay/HeadScanner.js'

const MAXIMUM_HEAD_BYTES = 16_384
const FRAGMENTS = ['HTTP/1.1 200 OK\r\n', 'HTTP/1.0 500 Failed\n', 'HTTP/1.1 200', 'HTTP/1.', 'HTTP/2 200 OK\r\n', 'H', 'a: b\r\n', 'attempt-id: a-1\n', 'text: HTTP/1.1 200 ', 'no header line', '\r\n', '\r', '\n', '\r\n\r\n', 'body']
const RUN_COUNT = 2_000

const bodies = fc.array(fc.oneof(fc.constantFrom(...FRAGMENTS), fc.string({ unit: 'binary', maxLength: 5 })), { maxLength: 20 }).map((fragments) => Buffer.from(fragments.join('')))
const cuts = fc.array(fc.nat({ max: 12 }), { minLength: 1, maxLength: 10 })

/** Scans a body in chunks of the given sizes, repeated until its end. */
function scanInChunks (body: Buffer, sizes: number[]): { parts: ScannedPart[], endsInHead: boolean, mostHeldBack: number } {
  const scanner = new HeadScanner()
  const parts: ScannedPart[] = []
  let [position, givenBytes, mostHeldBack, number] = [0, 0, 0, 0]
  while (position < body.length) {
    const chunk = body.subarray(position, position + sizes[number % sizes.length]! + 1)
    for (const part of scanner.scan(chunk)) {
      parts.push(part)
      givenBytes += part.bytes.length
    }
    position += chunk.length
    mostHeldBack = Math.max(mostHeldBack, position - givenBytes)
    number += 1
  }
  const end = scanner.finish()
  return { parts: [...parts, ...end.parts], endsInHead: end.endsInHead, mostHeldBack }
}

/** @returns the heads in a body, with the position of each */
function listHeads (parts: ScannedPart[]): unknown[] {
  let position = 0
  return parts.flatMap(({ bytes, head }) => {
    position += bytes.length
    return head === undefined ? [] : [{ head, end: position, bytes: bytes.length }]
  })
}

test('a body cut into any chunks gives all of its bytes, and the same heads as in one chunk', () => {
  fc.assert(fc.property(bodies, cuts, (body, sizes) => {
    const cut = scanInChunks(body, sizes)
    const whole = scanInChunks(body, [body.length])
    assert.deepEqual(Buffer.concat(cut.parts.map(({ bytes }) => bytes)), body)
    assert.deepEqual(listHeads(cut.parts), listHeads(whole.parts))
    assert.equal(cut.endsInHead, whole.endsInHead)
  }), { numRuns: RUN_COUNT })
})

test('a head is found behind any body, or within a head that begins before it', () => {
  fc.assert(fc.property(bodies, bodies, cuts, (before, after, sizes) => {
    const { parts } = scanInChunks(Buffer.concat([before, Buffer.from('HTTP/1.1 200 OK\r\nMark: m\r\n\r\n'), after]), sizes)
    assert.ok(parts.some(({ head }) => head?.headers.some(({ name, value }) => name === 'mark' && value === 'm')))
  }), { numRuns: RUN_COUNT })
})

test('a body that breaks off within a head ends in it', () => {
  const head = 'HTTP/1.1 200 OK\r\nMark: m\r\n\r\n'
  for (let bytes = 'HTTP/'.length; bytes < head.length; bytes += 1) {
    assert.equal(scanInChunks(Buffer.from(`body${head.slice(0, bytes)}`), [3]).endsInHead, true, `cut after ${bytes} bytes`)
  }
  for (const end of ['', 'H', 'HTTP', 'HTTP/2', 'HTTP/1.1 20x', 'HTTP/1.1 200 OK\r\nno header line', 'HTTP/1.1 200 OK\r\nMark: m\r\n\r\n']) {
    assert.equal(scanInChunks(Buffer.from(`body${end}`), [3]).endsInHead, false, end)
  }
})

const ENDLESS_LINES = ['x: HTTP/1.1 200 a\r\n', 'HTTP/1.1 200 a\r\n', 'HTTP/1.1 200 ', 'HTTP/1.', 'x: y\r\n', 'H', 'HTTP/1.1 200 OK\r\nx: y\r\n', 'HTTP/1.1 200 OK\r\n\r\n']
const LARGE_BYTES = 4_000_000
const CHUNK_BYTES = 65_536
const MOST_MILLISECONDS = 5_000

for (const line of ENDLESS_LINES) {
  // Guards against a body that takes the processor or the memory of a host.
  test(`a body of ${JSON.stringify(line)} takes linear time, and little of it is held back`, () => {
    const body = Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\n'), Buffer.alloc(LARGE_BYTES, line)])
    const usage = process.cpuUsage()
    const { mostHeldBack } = scanInChunks(body, [CHUNK_BYTES])
    scanInChunks(body, [body.length])
    assert.ok(mostHeldBack <= MAXIMUM_HEAD_BYTES, `${mostHeldBack} bytes`)
    const { user, system } = process.cpuUsage(usage)
    assert.ok((user + system) / 1_000 < MOST_MILLISECONDS, `${user + system} microseconds`)
  })
}

test('a head behind one that is too long is found', () => {
  const body = Buffer.from(`HTTP/1.1 200 OK\r\n${'x: y\r\n'.repeat(4_000)}x: HTTP/1.1 200 OK\r\nMark: m\r\n\r\nbody`)
  for (const size of [body.length, 1_000, 7]) {
    const heads = scanInChunks(body, [size]).parts.flatMap(({ head }) => head ?? [])
    assert.deepEqual(heads, [{ status: 200, headers: [{ name: 'mark', value: 'm' }] }])
  }
})
