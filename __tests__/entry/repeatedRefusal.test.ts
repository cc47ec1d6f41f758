import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { openPool } from '../../src/relay/openPool.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { openRawServer, type RawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const ONE_TIME = { requestClass: RequestClass.OneTime, mostAttempts: 2 }

/** Refuses the first request, and writes that refusal once more on its connection when the next one arrives, which it runs. */
async function openRepeatingServer (refusal: string): Promise<RawServer> {
  let firstSocket: Socket
  return await openRawServer((socket, head, number) => {
    if (number === 1) firstSocket = socket
    firstSocket.write(refusal)
    if (number === 1) return
    const [, attempt] = /attempt-id: (\S+)/i.exec(head) ?? []
    setTimeout(() => { socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok`) }, 20)
  })
}

for (const identifier of ['Attempt-Id: a-1\r\n', '']) {
  const name = identifier === '' ? 'without an identifier' : 'with an identifier'
  // With free slots reported, the refused request itself is sent to the same upstream again.
  for (const load of ['', 'Server-Load: 1,0,4\r\n']) {
    test(`a refusal ${name}${load === '' ? '' : ' and with free slots'} that is written once more is not taken for one of the next sending`, async () => {
      const server = await openRepeatingServer(`HTTP/1.1 503 Full\r\n${identifier}Not-Executed: 1\r\n${load}Content-Length: 0\r\n\r\n`)
      const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 500 })
      const { relay } = createRelayFixture([server.address], ONE_TIME, {}, { to: () => pool, destroy: () => pool.destroy() })
      const statuses: number[] = []
      for (const id of ['a-1', 'a-2']) statuses.push((await relay.serve(createEntryRequest(ONE_TIME, { id, headers: [{ name: 'attempt-id', value: id }] }))).status)
      await pool.destroy()
      await server.close()
      assert.deepEqual(statuses, [load === '' ? 503 : 200, 200])
    })
  }
}
