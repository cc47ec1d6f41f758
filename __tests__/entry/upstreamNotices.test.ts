import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { RequestClass } from '../../src/types/RequestClass.js'
import type { UpstreamRecord } from '../../src/registry/UpstreamRecord.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { openRawServer, type RawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture, type RelayFixture } from './createRelayFixture.js'

/** What an upstream writes in answer to a request. */
type Answer = (attempt: string) => string

const served: Answer = (attempt) => `HTTP/1.1 200 OK\r\nattempt-id: ${attempt}\r\nresponse-signature: s\r\ncontent-length: 2\r\n\r\nok`
const createRefusal = (fields: string): Answer => (attempt) => `HTTP/1.1 503 Full\r\nattempt-id: ${attempt}\r\nnot-executed: 1\r\n${fields}content-length: 0\r\n\r\n`
const addField = (answer: Answer, field: string): Answer => (attempt) => answer(attempt).replace('\r\n', `\r\n${field}\r\n`)

/** Opens two upstreams; the second one serves all requests, the first one answers as given. */
async function openFixture (context: TestContext, respond: (socket: Socket, attempt: string) => void, upstreamCount = 2): Promise<RelayFixture & { first: RawServer, send: (id: string, requestClass?: RequestClass) => ReturnType<RelayFixture['relay']['serve']> }> {
  const parseAttempt = (head: string): string => /attempt-id: (\S+)/i.exec(head)?.[1] ?? ''
  const first = await openRawServer((socket, head) => { respond(socket, parseAttempt(head)) })
  const others = await Promise.all(Array.from({ length: upstreamCount - 1 }, () => openRawServer((socket, head) => { socket.write(served(parseAttempt(head))) })))
  const fixture = createRelayFixture([first.address, ...others.map(({ address }) => address)])
  context.after(async () => {
    await fixture.connections.destroy()
    for (const server of [first, ...others]) await server.close()
  })
  const send = (id: string, requestClass = RequestClass.Idempotent): ReturnType<RelayFixture['relay']['serve']> => fixture.relay.serve(createEntryRequest({ requestClass }, { id, path: `/lookups/${id}`, objectKey: id, headers: [{ name: 'attempt-id', value: id }] }))
  return { ...fixture, first, send }
}

/** Sends requests of different objects until the first upstream has had one. */
async function sendUntilFirst ({ first, send }: { first: RawServer, send: (id: string) => Promise<unknown> }): Promise<void> {
  for (let number = 0; number < 200 && first.received.length === 0; number += 1) await send(`reach-${number}`)
  assert.equal(first.received.length, 1, 'the first upstream had a request')
}

const leavingAnswers: Array<{ name: string, respond: (socket: Socket, attempt: string) => void }> = [
  { name: 'a success', respond: (socket, attempt) => { socket.write(addField(served, 'server-leaving: 1')(attempt)) } },
  { name: 'an error of the upstream', respond: (socket, attempt) => { socket.write(`HTTP/1.1 500 Error\r\nattempt-id: ${attempt}\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n`) } },
  { name: 'a refusal', respond: (socket, attempt) => { socket.write(createRefusal('server-leaving: 1\r\n')(attempt)) } },
  { name: 'the answer to another request', respond: (socket) => { socket.write(addField(served, 'server-leaving: 1')('other')) } },
  { name: 'an answer that breaks off after its head', respond: (socket, attempt) => { socket.end(`HTTP/1.1 200 OK\r\nattempt-id: ${attempt}\r\nresponse-signature: s\r\nserver-leaving: 1\r\ncontent-length: 10\r\n\r\nab`) } }
]

for (const { name, respond } of leavingAnswers) {
  // Guards against requests at an upstream that said in an answer that it leaves.
  test(`after ${name} with the mark of a leaving upstream no request goes there`, async (context) => {
    const fixture = await openFixture(context, respond)
    await sendUntilFirst(fixture)
    for (let number = 0; number < 40; number += 1) await fixture.send(`after-${number}`)
    assert.equal(fixture.first.received.length, 1)
  })
}

// Guards against a mark that is lost because the connection was closed for its guest before the answer on it was read.
test('the mark of an answer that has arrived when its guest leaves counts', async (context) => {
  const cancellation = new AbortController()
  const fixture = await openFixture(context, (socket, attempt) => {
    socket.write(addField(served, 'server-leaving: 1')(attempt))
    cancellation.abort()
  }, 1)
  const record = describeFirst(fixture)
  await fixture.relay.serve(createEntryRequest({}, { headers: [{ name: 'attempt-id', value: 'a-1' }], cancelled: cancellation.signal }))
  assert.equal(fixture.first.received.length, 1)
  assert.equal(fixture.known.isLeaving(record), true)
})

function describeFirst ({ known }: RelayFixture): UpstreamRecord {
  return known.upstreams.get('i-0')!.record
}

// Guards against a mark that a late announcement, or control hosts that were started again, take back.
test('no announcement of the same start takes the mark of a leaving upstream back, and the next start is used', async (context) => {
  const fixture = await openFixture(context, (socket, attempt) => { socket.write(addField(served, 'server-leaving: 1')(attempt)) })
  await sendUntilFirst(fixture)
  const { known } = fixture
  const record = describeFirst(fixture)
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, sequence: record.sequence + 10 }, isLost: false }] }))
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, sequence: record.sequence + 11 }, isLost: true }] }))
  known.merge(createFollowReply({ position: { ...createFollowReply({}).position, feed: 'restarted' }, isComplete: true, upstreams: [{ record: { ...record, sequence: record.sequence + 12 }, isLost: false }] }))
  known.pruneLeaving()
  assert.deepEqual(known.listReady('inventario').map((entry) => entry.record.id), ['i-1'])
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, bornAt: record.bornAt + 1, sequence: 1 }, isLost: false }] }))
  known.pruneLeaving()
  assert.deepEqual(known.listReady('inventario').map((entry) => entry.record.id).sort(), ['i-0', 'i-1'])
})

test('the mark in an answer of another upstream at the address does not concern the one that had it before', async (context) => {
  const fixture = await openFixture(context, (socket, attempt) => { socket.write(`HTTP/1.1 421 Other\r\nattempt-id: ${attempt}\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n`) })
  const record = describeFirst(fixture)
  await sendUntilFirst(fixture)
  assert.equal(fixture.known.isLeaving(record), false)
})

// Guards against a crowd of requests at an upstream that asked for a pause.
test('an upstream that asked for a pause gets no request before its end, and the others serve', async (context) => {
  const fixture = await openFixture(context, (socket, attempt) => { socket.write(createRefusal('retry-after: 6\r\n')(attempt)) })
  await sendUntilFirst(fixture)
  for (let number = 0; number < 40; number += 1) assert.equal((await fixture.send(`after-${number}`)).outcome, Outcome.Ran)
  assert.equal(fixture.first.received.length, 1)
})

test('a request that sits on a connection to the upstream while it asks for a pause goes elsewhere', async (context) => {
  const waiting: Array<() => void> = []
  const fixture = await openFixture(context, (socket, attempt) => { waiting.push(() => { socket.write(createRefusal('retry-after: 6\r\n')(attempt)) }) })
  const answers = Array.from({ length: 8 }, (_, number) => fixture.send(`together-${number}`))
  await sleep(100)
  const reached = fixture.first.received.length
  assert.ok(reached > 0)
  for (const answer of waiting) answer()
  for (const answer of await Promise.all(answers)) assert.equal(answer.outcome, Outcome.Ran)
  assert.equal(fixture.first.received.length, reached)
})

test('the longest of several pauses holds, and an unreadable one changes nothing', async (context) => {
  const fixture = await openFixture(context, (socket, attempt) => { socket.write(createRefusal('retry-after: 0.2\r\nretry-after: soon\r\nretry-after: -3\r\nretry-after: 6\r\n')(attempt)) })
  await sendUntilFirst(fixture)
  await sleep(1_000)
  for (let number = 0; number < 40; number += 1) await fixture.send(`after-${number}`)
  assert.equal(fixture.first.received.length, 1)
})

test('when all upstreams asked for a pause, the guest is told at once when the first of them returns', async (context) => {
  const fixture = await openFixture(context, (socket, attempt) => { socket.write(createRefusal('retry-after: 6\r\n')(attempt)) }, 1)
  await fixture.send('first')
  const startedAt = performance.now()
  const answer = await fixture.send('second')
  assert.ok(performance.now() - startedAt < 200)
  assert.deepEqual([answer.outcome, answer.reason, answer.status], [Outcome.NotRun, RefusalReason.UpstreamsPaused, 503])
  assert.ok(answer.retryAfterMilliseconds! > 5_000 && answer.retryAfterMilliseconds! < 8_000, `${answer.retryAfterMilliseconds} ms`)
  assert.equal(fixture.first.received.length, 1)
})
