import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { openPool } from '../../src/relay/openPool.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { FURTHER_ANSWERS, LATE_MILLISECONDS, readText, writeLate } from '../support/furtherAnswers.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const ONE_TIME = { requestClass: RequestClass.OneTime, mostAttempts: 2 }
const ID = 'a-1'
/** Larger than the buffer. */
const LARGE_BODY = 'body '.repeat(1_000)

function composeAnswer (body: string): string {
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${ID}\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n${body}`
}

/** @returns the answer to a request whose upstream writes the given bytes behind its answer */
async function serveWithFurther (body: string, further: string, milliseconds: number): Promise<RelayAnswer & { text: string | undefined }> {
  const server = await openRawServer((socket) => { writeLate(socket, composeAnswer(body), further, milliseconds) })
  const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 500 })
  const { relay } = createRelayFixture([server.address], ONE_TIME, {}, { to: () => pool, destroy: () => pool.destroy() })
  const answer = await relay.serve(createEntryRequest(ONE_TIME, { id: ID, headers: [{ name: 'attempt-id', value: ID }] }))
  const text = await readText(answer.body)
  await pool.destroy()
  await server.close()
  return { ...answer, text }
}

for (const { name, compose, isSeparable, isAmbiguousWhenEmpty } of FURTHER_ANSWERS) {
  // Guards against a guest that gets two answers as one body.
  test(`${name} behind an answer that ends with its connection is no part of the body`, async () => {
    for (const body of ['body', '']) {
      for (const milliseconds of LATE_MILLISECONDS) {
        const answer = await serveWithFurther(body, compose(composeAnswer(body), body), milliseconds)
        if (isSeparable && (body !== '' || isAmbiguousWhenEmpty !== true)) assert.equal(answer.text, body)
        else assert.equal(answer.outcome, Outcome.Unknown, answer.text)
      }
    }
  })

  test(`${name} behind a large answer that ends with its connection does not reach the guest`, async () => {
    for (const milliseconds of LATE_MILLISECONDS) {
      const answer = await serveWithFurther(LARGE_BODY, compose(composeAnswer(LARGE_BODY), LARGE_BODY), milliseconds)
      assert.equal(answer.outcome, Outcome.Unknown)
    }
  })
}

test('a body that contains another HTTP message is passed on unchanged', async () => {
  for (const further of ['HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nexample', 'HTTP/1.1 200', 'HTTP'].map((text) => `${text}, as said above`)) {
    for (const body of ['body', '']) assert.equal((await serveWithFurther(body, further, 20)).text, body + further)
  }
})

test('a request that may be repeated is sent again when it is not known where its answer ends, and this is counted and logged', async () => {
  const counters = new Counters()
  const events: Array<Record<string, unknown>> = []
  const log = { info: () => {}, warn: (event: string, fields: object) => { events.push({ event, ...fields }) }, error: () => {} }
  let runs = 0
  const respond = (socket: Socket): void => {
    const answer = composeAnswer('body')
    writeLate(socket, answer, runs === 0 ? answer.slice(0, -1) : answer, 20)
    runs += 1
  }
  const servers = [await openRawServer(respond), await openRawServer(respond)]
  const idempotent = { requestClass: RequestClass.Idempotent, mostAttempts: 2 }
  const { relay, connections } = createRelayFixture(servers.map(({ address }) => address), idempotent, { counters, log })
  const answer = await relay.serve(createEntryRequest(idempotent, { id: ID, headers: [{ name: 'attempt-id', value: ID }] }))
  await connections.destroy()
  await Promise.all(servers.map(async (server) => { await server.close() }))
  assert.equal(answer.outcome, Outcome.Ran)
  assert.equal(String(answer.body), 'body')
  assert.equal(runs, 2)
  assert.deepEqual([counters.read('repeated-answer.ambiguous'), counters.read('repeated-answer.cut-off')], [1, 1])
  const found = events.filter(({ event }) => event === 'repeated-answer').map(({ request, found }) => ({ request, found }))
  assert.deepEqual(found, [{ request: ID, found: 'ambiguous' }, { request: ID, found: 'cut-off' }])
})
