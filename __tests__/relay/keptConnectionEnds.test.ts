import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import type { ExchangeError } from '../../src/errors/ExchangeError.js'
import { exchange, type ExchangeRequest } from '../../src/relay/exchange.js'
import { openPool } from '../../src/relay/openPool.js'
import { openRawServer } from '../support/openRawServer.js'

const ID_HEADER = 'echo'

function composeAnswer (id: string): string {
  return `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\ncontent-length: 2\r\n\r\nok`
}

function findId (head: string): string {
  return new RegExp(`^${ID_HEADER}: (\\S+)`, 'm').exec(head)?.[1] ?? ''
}

/** How an upstream can end a kept connection, or write on it, while no request is on it. */
const DISTURBANCES: Record<string, (socket: Socket) => void> = {
  'resets the connection': (socket) => { socket.resetAndDestroy() },
  'ends the connection': (socket) => { socket.end() },
  'writes its answer once more': (socket) => { socket.write(composeAnswer('first')) },
  'writes a part of its answer once more': (socket) => { socket.write(composeAnswer('first').slice(0, 20)) },
  'refuses an idle connection': (socket) => { socket.end('HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n') },
  'writes what is not HTTP': (socket) => { socket.write('not HTTP\r\n\r\n') },
  'writes without end': (socket) => { socket.write('\r\n'.repeat(1_000_000)) }
}

/** When that meets a request. */
const MOMENTS: Record<string, (disturb: () => void, send: () => void) => void> = {
  'just before a request waits for it': (disturb, send) => {
    disturb()
    send()
  },
  'while a request waits for it': (disturb, send) => {
    send()
    disturb()
  },
  'some time before a request': (disturb, send) => {
    disturb()
    setTimeout(send, 10)
  }
}

interface Attempt {
  send: (id: string, body?: Buffer) => Promise<string>
  sockets: Socket[]
  /** Causes of failures of idle connections that were reported. */
  failures: string[]
  /** Identifiers of the requests that arrived. */
  received: string[]
}

/** Opens one connection at a time to a server that answers each request with its identifier. */
async function openAttempt (context: TestContext, answer: (socket: Socket, id: string) => void = (socket, id) => { socket.write(composeAnswer(id)) }): Promise<Attempt> {
  const sockets: Socket[] = []
  const received: string[] = []
  const failures: string[] = []
  const server = await openRawServer((socket, head) => {
    if (findId(head) === '') return
    sockets.push(socket)
    received.push(findId(head))
    answer(socket, findId(head))
  })
  const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 5_000, onIdleFailure: (cause) => { failures.push(cause) } })
  context.after(async () => {
    await pool.destroy()
    await server.close()
  })
  const send = async (id: string, body: Buffer = Buffer.from('order')): Promise<string> => {
    const request: ExchangeRequest = {
      peer: server.address, method: 'POST', path: '/act', headers: [{ name: ID_HEADER, value: id }], body, deadline: performance.now() + 5_000, cancelled: new AbortController().signal, answerBufferBytes: 1_024, closeConnection: false, mayWrite: () => true
    }
    return await exchange(pool, request).then(
      ({ headers }) => headers.find(({ name }) => name === ID_HEADER)?.value ?? 'not an answer',
      (error: ExchangeError) => `${error.failure}, written: ${error.written}, ${String(error.cause)}`)
  }
  return { send, sockets, received, failures }
}

// Guards against requests that are refused, and blamed on the upstream, because a kept connection ended before they were written.
for (const [disturbance, disturb] of Object.entries(DISTURBANCES)) {
  for (const [moment, meet] of Object.entries(MOMENTS)) {
    test(`a request is answered when the upstream ${disturbance} ${moment}`, async (context) => {
      const { send, sockets, received, failures } = await openAttempt(context)
      assert.equal(await send('first'), 'first')
      await sleep(10)
      const second = new Promise<string>((resolve) => { setTimeout(() => { meet(() => { disturb(sockets[0]!) }, () => { resolve(send('second')) }) }) })
      assert.equal(await second, 'second')
      assert.deepEqual(received, ['first', 'second'])
      assert.equal(failures.length, disturbance === 'ends the connection' ? 0 : 1)
    })
  }
}

// Guards against a request whose bytes the kernel refused, as it knew of the reset by then, and that is answered as if it might have run.
test('a request is answered when its connection was reset right before it is written', async (context) => {
  const { send, sockets, received } = await openAttempt(context)
  assert.equal(await send('first'), 'first')
  await sleep(10)
  const second = await new Promise<string>((resolve) => {
    setTimeout(() => {
      // Runs between the last look at the connection and the write.
      setImmediate(() => { sockets[0]!.resetAndDestroy() })
      resolve(send('second'))
    })
  })
  assert.equal(second, 'second')
  assert.deepEqual(received, ['first', 'second'])
})

// Guards against requests that wait behind bytes of an earlier one that its upstream answered without reading them.
test('a request is not written behind the unsent rest of an earlier one', async (context) => {
  const { send, received } = await openAttempt(context, (socket, id) => {
    socket.write(composeAnswer(id))
    if (id === 'first') socket.pause()
  })
  assert.deepEqual(await Promise.all([send('first', Buffer.alloc(20_000_000)), send('second')]), ['first', 'second'])
  assert.deepEqual(received, ['first', 'second'])
})
