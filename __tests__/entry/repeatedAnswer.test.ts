import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { openPool } from '../../src/relay/openPool.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { openRawServer, type RawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const ONE_TIME = { requestClass: RequestClass.OneTime, mostAttempts: 2 }
const REQUEST_COUNT = 5
const RUN_MILLISECONDS = 30

/** Answers each request on its connection after some time, and writes the first answer once more when the second request arrives there. */
async function openRepeatingServer (composeCopy: (answer: string) => string): Promise<RawServer> {
  let firstSocket: Socket | undefined
  let firstAnswer = ''
  return await openRawServer((socket, head, number) => {
    const [, attempt] = /attempt-id: (\S+)/i.exec(head) ?? []
    const answer = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\n${attempt}`
    if (number === 1) {
      firstSocket = socket
      firstAnswer = answer
    } else if (number === 2 && socket === firstSocket) socket.write(composeCopy(firstAnswer))
    setTimeout(() => { if (socket.writable) socket.write(answer) }, RUN_MILLISECONDS)
  })
}

const COPIES = [
  { name: 'whole', compose: (answer: string) => answer },
  { name: 'without its identifier', compose: (answer: string) => answer.replace(/Attempt-Id: .*\r\n/, '') },
  { name: 'in chunks', compose: (answer: string) => answer.replace('Content-Length: 3\r\n\r\na-1', 'Transfer-Encoding: chunked\r\n\r\n3\r\na-1\r\n0\r\n\r\n') },
  { name: 'of a body that goes on', compose: (answer: string) => answer.replace('Content-Length: 3', 'Content-Length: 100') }
]

for (const { name, compose } of COPIES) {
  test(`an answer that is written once more, ${name}, reaches no later request, and spoils only the request that met it`, async () => {
    const server = await openRepeatingServer(compose)
    const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 500 })
    const { relay } = createRelayFixture([server.address], ONE_TIME, {}, { to: () => pool, destroy: () => pool.destroy() })
    const outcomes: Outcome[] = []
    for (let number = 1; number <= REQUEST_COUNT; number += 1) {
      const id = `a-${number}`
      const answer = await relay.serve(createEntryRequest(ONE_TIME, { id, headers: [{ name: 'attempt-id', value: id }] }))
      if (answer.outcome === Outcome.Ran) assert.equal(String(answer.body), id)
      outcomes.push(answer.outcome)
    }
    await pool.destroy()
    await server.close()
    assert.deepEqual(outcomes, [Outcome.Ran, Outcome.Unknown, Outcome.Ran, Outcome.Ran, Outcome.Ran])
  })
}
