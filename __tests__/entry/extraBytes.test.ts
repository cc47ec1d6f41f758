import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { openPool } from '../../src/relay/openPool.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { ARRIVALS, EXTRAS, FRAMINGS, INTERIMS, writeSegments } from '../support/extraBytes.js'
import { readText } from '../support/furtherAnswers.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const ONE_TIME = { requestClass: RequestClass.OneTime, mostAttempts: 2 }
const REQUEST_COUNT = 4

/** Sends requests one after another to an upstream that writes what the function says. */
async function serveAll (methods: string[], respond: (socket: Socket, id: string, number: number) => void): Promise<Array<{ answer: RelayAnswer, text: string | undefined }>> {
  const server = await openRawServer((socket, head, number) => { respond(socket, /attempt-id: (\S+)/i.exec(head)![1]!, number) })
  const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 500 })
  const { relay } = createRelayFixture([server.address], ONE_TIME, {}, { to: () => pool, destroy: () => pool.destroy() })
  const answers = []
  for (const [index, method] of methods.entries()) {
    const id = `a-${index + 1}`
    const answer = await relay.serve(createEntryRequest(ONE_TIME, { id, method, headers: [{ name: 'attempt-id', value: id }] }))
    answers.push({ answer, text: await readText(answer.body) })
  }
  await pool.destroy()
  await server.close()
  return answers
}

function composeHead (id: string, status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nResponse-Signature: s\r\n`
}

/** @returns the texts of the answers that ran, undefined for any other */
function listTexts (results: Awaited<ReturnType<typeof serveAll>>): Array<string | undefined> {
  return results.map(({ answer, text }) => answer.outcome === Outcome.Ran ? text : undefined)
}

for (const interim of [...INTERIMS, 'HTTP/1.1 103 Early Hints\r\nAttempt-Id: a-1\r\n\r\n']) {
  // Guards against an interim response that is taken for the answer, which was answered as unknown.
  test(`the answer behind ${interim.split('\r\n', 1)[0]} reaches the guest, whatever delimits it`, async () => {
    const results = await serveAll(['GET', 'GET', 'GET'], (socket, id, number) => {
      socket.write(interim)
      if (number < 3) socket.write(`${composeHead(id)}Content-Length: ${id.length}\r\n\r\n${id}`)
      else socket.end(`${composeHead(id)}\r\n${id}`)
    })
    assert.deepEqual(listTexts(results), ['a-1', 'a-2', 'a-3'])
  })
}

test('text like a further answer within an answer of known length behind an interim response stays in the body', async () => {
  const body = `${composeHead('a-1')}\r\nbody`
  const results = await serveAll(['GET'], (socket, id) => { socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${composeHead(id)}Content-Length: ${body.length}\r\n\r\n${body}`) })
  assert.deepEqual(listTexts(results), [body])
})

for (const { name, method = 'GET', compose, hasBody = true } of FRAMINGS) {
  for (const extra of EXTRAS) {
    // Guards against bytes behind a complete answer that reach a guest.
    test(`${extra.name} behind an answer ${name} reaches no guest`, async () => {
      await Promise.all(ARRIVALS.map(async (arrival) => {
        const methods = Array.from({ length: REQUEST_COUNT }, () => method)
        const results = await serveAll(methods, (socket, id, number) => {
          const answer = compose(composeHead, id)
          writeSegments(socket, number % 2 === 1 ? arrival.split(answer, extra.compose(answer)) : [answer])
        })
        const texts = listTexts(results)
        const expected = texts.map((_, index) => hasBody ? `a-${index + 1}` : '')
        assert.equal(texts[0], expected[0], arrival.name)
        texts.forEach((text, index) => { assert.ok(text === undefined || text === expected[index], `${arrival.name}: ${text}`) })
        results.forEach(({ answer }, index) => { if (answer.outcome === Outcome.Ran) assert.equal(answer.headers.find(({ name }) => name === 'attempt-id')?.value, `a-${index + 1}`) })
      }))
    })
  }
}
