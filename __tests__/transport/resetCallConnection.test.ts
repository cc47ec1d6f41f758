import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { PeerClient } from '../../src/transport/PeerClient.js'
import { PeerSignature } from '../../src/transport/PeerSignature.js'
import type { PeerMethod } from '../../src/types/PeerMethod.js'
import { openRawServer } from '../support/openRawServer.js'

const METHOD = 'method' as PeerMethod

// Guards against calls that fail, as if the peer could not be reached, because a kept connection to it was reset before the call was written.
test('a call is answered when its connection was reset while it waited for it', async (context) => {
  const sockets: Socket[] = []
  const server = await openRawServer((socket, text, number) => {
    sockets.push(socket)
    const { id } = JSON.parse(text.slice(text.indexOf('\r\n\r\n') + 4)) as { id: unknown }
    const body = JSON.stringify({ jsonrpc: '2.0', id, result: number })
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  })
  const client = new PeerClient(new PeerSignature('k'.repeat(40)), (address) => address)
  context.after(async () => {
    await client.close()
    await server.close()
  })
  const call = async (): Promise<number> => await client.call<number>(server.address, METHOD, {}, 5_000)
  assert.equal(await call(), 1)
  await sleep(10)
  const second = await new Promise<number>((resolve, reject) => {
    setTimeout(() => {
      sockets[0]!.resetAndDestroy()
      call().then(resolve, reject)
    })
  })
  assert.equal(second, 2)
})
