import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Counters } from '../../src/observe/Counters.js'
import { declareCounters, listenerFaultCounter } from '../../src/observe/declareCounters.js'
import type { LogFields } from '../../src/observe/Log.js'
import { recordListenerFault } from '../../src/observe/recordListenerFault.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { ListenerFault } from '../../src/transport/ListenerFault.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
const HOST = `127.83.${process.pid >> 8 & 255}.${process.pid & 255}`
const PORT = 7_000
const RUN_MILLISECONDS = 200
const DEADLINE_MILLISECONDS = 5_000

// Guards against requests that vanish at a listener without a counter or a log line.
test('a dropped request, unreadable bytes and a failed handler are counted and logged with their causes', async (context) => {
  const counters = new Counters()
  declareCounters(counters)
  const lines: LogFields[] = []
  const keepLine = (_event: string, fields: LogFields): void => { lines.push(fields) }
  const listener = new HttpListener({
    address: `${HOST}:${PORT}`,
    headerBytes: 8_192,
    handle: async ({ url }, response) => {
      if (url === '/defect') throw new Error('defect')
      await sleep(RUN_MILLISECONDS)
      response.setHeader('connection', 'close').end('answer')
    },
    onMalformed: () => '',
    onFault: recordListenerFault({ counters, log: { info: keepLine, warn: keepLine, error: keepLine } }, 'guest')
  })
  await listener.open()
  context.after(async () => {
    listener.destroy()
    await listener.closeWithin(0)
  })
  const getCounts = (): number[] => Object.values(ListenerFault).map((fault) => counters.read(listenerFaultCounter(fault)))
  assert.deepEqual(getCounts(), [0, 0, 0])
  const send = async (text: string): Promise<void> => {
    const socket = connect({ host: HOST, port: PORT }).on('error', () => {}).resume()
    socket.write(text)
    await once(socket, 'close', { signal: AbortSignal.timeout(DEADLINE_MILLISECONDS) })
  }
  await send('GET /first HTTP/1.1\r\nhost: h\r\n\r\nGET /second HTTP/1.1\r\nhost: h\r\n\r\n')
  await send('no request\r\n\r\n')
  await send('GET /defect HTTP/1.1\r\nhost: h\r\n\r\n')
  assert.deepEqual(getCounts(), [1, 1, 1])
  assert.deepEqual(lines.map(({ fault, path, cause }) => ({ fault, path, cause })), [
    { fault: ListenerFault.RequestDropped, path: '/second', cause: 'connection-closing' },
    { fault: ListenerFault.Malformed, path: undefined, cause: 'HPE_INVALID_METHOD' },
    { fault: ListenerFault.HandlerFailed, path: '/defect', cause: 'Error: defect' }
  ])
})
