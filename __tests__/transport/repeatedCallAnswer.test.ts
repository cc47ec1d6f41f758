import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { PeerCallError } from '../../src/errors/PeerCallError.js'
import { PeerClient } from '../../src/transport/PeerClient.js'
import { PeerSignature } from '../../src/transport/PeerSignature.js'
import type { PeerMethod } from '../../src/types/PeerMethod.js'
import { openRawServer } from '../support/openRawServer.js'

const METHOD = 'method' as PeerMethod
const TIMEOUT_MILLISECONDS = 500

function composeAnswer (id: unknown, result: string): string {
  const body = JSON.stringify({ jsonrpc: '2.0', id, result })
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

// Guards against an answer that a peer writes once more and that the next call on the connection takes for its own.
test('a call between hosts does not take the answer to an earlier one for its own', async (context) => {
  let firstAnswer = ''
  const server = await openRawServer((socket, text, number) => {
    const { id } = JSON.parse(text.slice(text.indexOf('\r\n\r\n') + 4)) as { id: unknown }
    const answer = composeAnswer(id, `result ${number}`)
    if (number === 1) firstAnswer = answer
    if (number === 2) socket.write(firstAnswer)
    setTimeout(() => { if (socket.writable) socket.write(answer) }, 10)
  })
  const client = new PeerClient(new PeerSignature('k'.repeat(40)), (address) => address)
  context.after(async () => {
    await client.close()
    await server.close()
  })
  const call = async (): Promise<string> => await client.call<string>(server.address, METHOD, {}, TIMEOUT_MILLISECONDS)
  assert.equal(await call(), 'result 1')
  await assert.rejects(call(), (error) => error instanceof PeerCallError)
  await sleep(30)
  assert.equal(await call(), 'result 3')
})
