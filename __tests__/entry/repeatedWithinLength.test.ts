import assert from 'node:assert/strict'
import { test } from 'node:test'
import { openPool } from '../../src/relay/openPool.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { readText } from '../support/furtherAnswers.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const ONE_TIME = { requestClass: RequestClass.OneTime, mostAttempts: 2 }
const ID = 'a-1'
const BODY = 'body '.repeat(60)
const ANSWER = `HTTP/1.1 200 OK\r\nAttempt-Id: ${ID}\r\nResponse-Signature: s\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`

/** @returns the outcome of a request whose upstream writes the given bytes, and the text of its answer */
async function serve (bytes: string): Promise<{ outcome: Outcome, text: string | undefined }> {
  const server = await openRawServer((socket) => { socket.write(bytes) })
  const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 500 })
  const { relay } = createRelayFixture([server.address], ONE_TIME, {}, { to: () => pool, destroy: () => pool.destroy() })
  const answer = await relay.serve(createEntryRequest(ONE_TIME, { id: ID, headers: [{ name: 'attempt-id', value: ID }] }))
  const text = await readText(answer.body)
  await pool.destroy()
  await server.close()
  return { outcome: answer.outcome, text }
}

// Guards against a guest that gets a part of an answer, filled up with a copy of the answer, as a whole one.
test('a copy of an answer does not fill the length of the first one, which was cut', async () => {
  const { outcome, text } = await serve(ANSWER.slice(0, -250) + ANSWER)
  assert.equal(outcome, Outcome.Unknown, text)
})

test('an answer with a length that contains an answer to another request is passed on unchanged', async () => {
  const body = ANSWER.replace(ID, 'a-2')
  const { outcome, text } = await serve(`HTTP/1.1 200 OK\r\nAttempt-Id: ${ID}\r\nResponse-Signature: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
  assert.equal(outcome, Outcome.Ran)
  assert.equal(text, body)
})
