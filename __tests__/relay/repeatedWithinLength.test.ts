import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { readText } from '../support/furtherAnswers.js'
import { openRawServer } from '../support/openRawServer.js'
import { createOwnerFixture } from './createOwnerFixture.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const ID = 'r-1'
const DEADLINE_MILLISECONDS = 2_000
const BODY = 'body '.repeat(60)
const ANSWER = `HTTP/1.1 200 OK\r\nHibiscusrelay-Request: ${ID}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`

// Guards against a guest that gets a part of an answer, filled up with a copy of the answer, as a whole one.
test('a copy of an answer does not fill the length of the first one, which was cut, at an owner', async () => {
  const server = await openRawServer((socket) => { socket.write(ANSWER.slice(0, -250) + ANSWER) })
  const { owner, upstream } = createOwnerFixture(server.address)
  const answer = await owner.serve({ ...createRelayedRequest(ID, DEADLINE_MILLISECONDS), id: ID, requestClass: RequestClass.OneTime })
  const text = await readText(answer.body)
  await upstream.close()
  await server.close()
  assert.equal(answer.outcome, Outcome.Unknown, text)
})
