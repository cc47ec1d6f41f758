import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import type { LogFields } from '../../src/observe/Log.js'
import { getIncarnation } from '../../src/registry/UpstreamRecord.js'
import { openPool } from '../../src/relay/openPool.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const ONE_TIME = { requestClass: RequestClass.OneTime, mostAttempts: 2 }

const RESETS: Record<string, (socket: Socket) => void> = {
  'while the request waits for it': (socket) => { socket.resetAndDestroy() },
  'right before the request is written': (socket) => { setImmediate(() => { socket.resetAndDestroy() }) }
}

for (const [moment, reset] of Object.entries(RESETS)) {
  // Guards against requests that are refused or unknown, and upstreams that are blamed, for a connection that ended before the write.
  test(`a one-time request runs at the upstream that reset its idle connection ${moment}, without blame or charge`, async (context) => {
    const sockets: Socket[] = []
    const server = await openRawServer((socket, head) => {
      sockets.push(socket)
      const [, attempt] = /attempt-id: (\S+)/i.exec(head) ?? []
      socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\n${attempt}`)
    })
    const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 5_000 })
    const lines: LogFields[] = []
    const log = { info: (_event: string, fields: LogFields) => { lines.push(fields) }, warn: (_event: string, fields: LogFields) => { lines.push(fields) }, error: () => {} }
    const { relay, known, crashes } = createRelayFixture([server.address], ONE_TIME, { log }, { to: () => pool, destroy: () => pool.destroy() })
    context.after(async () => {
      await pool.destroy()
      await server.close()
    })
    const send = async (id: string): Promise<Outcome> => (await relay.serve(createEntryRequest(ONE_TIME, { id, headers: [{ name: 'attempt-id', value: id }] }))).outcome
    assert.equal(await send('a-1'), Outcome.Ran)
    await sleep(10)
    const outcome = await new Promise<Outcome>((resolve) => {
      setTimeout(() => {
        reset(sockets[0]!)
        resolve(send('a-2'))
      })
    })
    const { reason, cause, sends, tried } = lines[1]!
    assert.deepEqual({ outcome, reason, cause, sends, tried }, { outcome: Outcome.Ran, reason: undefined, cause: undefined, sends: 1, tried: 'i-0' })
    assert.equal(server.received.length, 2)
    assert.equal(crashes.isUnreachable(getIncarnation(known.upstreams.get('i-0')!.record)), false)
  })
}
