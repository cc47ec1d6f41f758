import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { FURTHER_ANSWERS, LATE_MILLISECONDS, readText, writeLate } from '../support/furtherAnswers.js'
import { openRawServer } from '../support/openRawServer.js'
import { createOwnerFixture } from './createOwnerFixture.js'
import { createRelayedRequest } from './createRelayedRequest.js'
import { forwardThroughOwner } from './forwardThroughOwner.js'

const ID = 'r-1'
const BUFFER_BYTES = 1_024
const DEADLINE_MILLISECONDS = 2_000
/** Larger than the buffer. */
const LARGE_BODY = 'body '.repeat(1_000)

function composeAnswer (body: string): string {
  return `HTTP/1.1 200 OK\r\nHibiscusrelay-Request: ${ID}\r\nConnection: close\r\n\r\n${body}`
}

/** @returns the answer to a request whose upstream writes the given bytes behind its answer */
async function serveWithFurther (body: string, further: string, milliseconds: number): Promise<RelayAnswer & { text: string | undefined }> {
  const server = await openRawServer((socket) => { writeLate(socket, composeAnswer(body), further, milliseconds) })
  const { owner, upstream } = createOwnerFixture(server.address, { answerBufferBytes: BUFFER_BYTES })
  const answer = await owner.serve({ ...createRelayedRequest(ID, DEADLINE_MILLISECONDS), id: ID, requestClass: RequestClass.OneTime })
  const text = await readText(answer.body)
  await upstream.close()
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

for (const { name, compose } of FURTHER_ANSWERS) {
  test(`${name} behind a large answer does not look whole behind the hop between hosts`, async (context) => {
    const answer = `HTTP/1.1 200 OK\r\nHibiscusrelay-Request: r\r\nConnection: close\r\n\r\n${LARGE_BODY}`
    const result = await forwardThroughOwner(context, (socket) => { writeLate(socket, answer, compose(answer, LARGE_BODY), 20) })
    assert.ok(result.answer.outcome === Outcome.Unknown || await readText(result.answer.body) === undefined)
  })
}
