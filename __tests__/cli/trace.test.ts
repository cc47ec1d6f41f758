import assert from 'node:assert/strict'
import { test } from 'node:test'
import { collectTrace } from '../../src/cli/trace/collectTrace.js'
import { describeRequestLine } from '../../src/cli/trace/describeRequestLine.js'
import { parseLogLine, type LogLine } from '../../src/cli/trace/LogLine.js'

/** Log lines that hosts wrote in benchmark runs; the first has the prefix of the log collector, the last is no log line. */
const texts = [
  '   1.3352 edge-kelet-b-1 time=2026-03-19T02:52:09.334Z level=warn host=edge-kelet-b-1 event=request-failed step=answer request=79ffaaaf1ae17843 route=r-u6uhap2 service=goti90a plan=4 tried="" object=21 waited=0 candidates=20 fill=289 sends=0 outcome=not-run reason=upstreams-full status=503 took=1',
  'time=2026-03-19T02:52:08.000Z level=info host=edge-kelet-b-1 event=plan-in-force step=follow version=4 routes=22',
  'time=2026-03-19T02:52:08.900Z level=info host=edge-kozep-a-4 event=plan-in-force step=follow version=4 routes=22',
  'time=2026-03-19T02:52:08.334Z level=warn host=edge-kozep-a-4 event=request-failed step=answer request=66ea3d0922310cc2 route=r-tk6ktfr service=goti90a plan=4 tried=i-b1b696a469 waited=0 candidates=20 rank=0 fill=0 sends=1 outcome=unknown reason=deadline-passed cause="Error: timed-out" status=504 took=405',
  'time=2026-03-19T02:52:07.000Z level=warn host=core-kozep-a-1 event=upstream-silent step=registry peer=i-b1b696a469',
  'no line of a log'
]
const lines = texts.map(parseLogLine).filter((line): line is LogLine => line !== undefined)

test('log lines are parsed with or without a prefix, and other text is ignored', () => {
  assert.equal(lines.length, 5)
  assert.equal(lines[0]!.host, 'edge-kelet-b-1')
  assert.equal(lines[3]!.fields.get('cause'), 'Error: timed-out')
})

test('the trace of a request that was refused at once shows the cause', () => {
  const { requestLines, contextLines } = collectTrace(lines, '79ffaaaf1ae17843')
  assert.equal(requestLines.length, 1)
  assert.deepEqual(contextLines.map(({ host, event }) => `${host} ${event}`), ['edge-kelet-b-1 plan-in-force'])
  const text = describeRequestLine(requestLines[0]!).join(' ')
  assert.match(text, /20 upstreams to choose from; the object's first upstream was 289% full/)
  assert.match(text, /sent to no upstream/)
  assert.match(text, /ended with outcome not-run and status 503 after 1 ms: the upstreams that hold the object were close to shedding requests/)
})

test('the trace of a request that missed its deadline shows its upstream, and the event that another host logged about it', () => {
  const { requestLines, contextLines } = collectTrace(lines, '66ea3d0922310cc2')
  assert.deepEqual(contextLines.map(({ host, event }) => `${host} ${event}`), ['core-kozep-a-1 upstream-silent'])
  const text = describeRequestLine(requestLines[0]!).join(' ')
  assert.match(text, /tried at i-b1b696a469; 1 of these attempts reached an upstream \(last failure: Error: timed-out\)/)
  assert.match(text, /its deadline passed before the answer arrived/)
})

test('the trace of a request that no log mentions is empty', () => {
  assert.deepEqual(collectTrace(lines, 'unknown'), { requestLines: [], contextLines: [] })
})

/** Time of the pause below. */
const PAUSED_AT = '2026-12-06T00:40:00.000Z'
const pauseLine = `time=${PAUSED_AT} level=info host=entry-3 event=upstream-paused step=answer peer=127.0.0.1:41001 upstream=i-1 service=inventario pause=60000 returns=60300 request=paused-4`

function refusedAt (milliseconds: number, host = 'entry-3'): string {
  const time = new Date(Date.parse(PAUSED_AT) + milliseconds).toISOString()
  return `time=${time} level=warn host=${host} event=request-failed step=answer request=late-1 route=lookups service=inventario plan=2 tried="" waited=0 candidates=0 sends=0 outcome=not-run reason=upstreams-paused status=503 took=1`
}

// Guards against the trace of a request that a pause concerns, and that does not mention the pause because it began long before.
test('the trace of a request lists the pauses that had not ended', () => {
  const listContext = (text: string): string[] => collectTrace([pauseLine, text].map((line) => parseLogLine(line)!), 'late-1').contextLines.map(({ event }) => event)
  assert.deepEqual(listContext(refusedAt(2_000)), ['upstream-paused'])
  assert.deepEqual(listContext(refusedAt(59_000)), ['upstream-paused'])
  assert.deepEqual(listContext(refusedAt(64_000)), [])
  assert.deepEqual(listContext(refusedAt(-1_000)), [])
  assert.deepEqual(listContext(refusedAt(59_000, 'entry-4')), [])
})

test('the trace says in words that all upstreams asked for a pause', () => {
  assert.match(describeRequestLine(parseLogLine(refusedAt(59_000))!).join(' '), /all upstreams of the service had asked for a pause/)
})

// Guards against an operator who takes the second attempt for a retry after a failure.
test('the trace of a request with a second attempt tells when it began and which one answered', () => {
  const text = 'time=2026-03-19T02:52:08.334Z level=info host=edge-1 event=request-answered step=answer request=a route=r service=s plan=4 tried=i-1,i-2 waited=0 candidates=20 rank=0 fill=0 sends=2 second=i-2 secondAfter=120 winner=WINNER outcome=ran status=200 took=220'
  const describe = (winner: string): string => describeRequestLine(parseLogLine(text.replace('WINNER', winner))!).join(' ')
  assert.match(describe('second'), /The attempt at i-2 began 120 ms after the first one and beside it; the second one answered\./)
  assert.match(describe('none'), /neither answered\./)
})
