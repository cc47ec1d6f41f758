import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpListener } from '../../src/transport/HttpListener.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
export const HOST = `127.82.${process.pid >> 8 & 255}.${process.pid & 255}`
export const PORT = 7_000
export const WAIT_MILLISECONDS = 3_000
export const MALFORMED_ANSWER = 'HTTP/1.1 400 Refused\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
/** How long {@link answerLate} takes. */
export const RUN_MILLISECONDS = 200
export const REQUEST = 'GET /first HTTP/1.1\r\nhost: h\r\n\r\n'

export interface Guest {
  socket: Socket
  text: () => string
  /** Resolves to the error that ended the connection, undefined when it ended in order. */
  ended: Promise<string | undefined>
}

/** Opens a listener that is closed after the test. */
export async function openListener (context: TestContext, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Promise<HttpListener> {
  const listener = new HttpListener({ address: `${HOST}:${PORT}`, headerBytes: 8_192, handle, onMalformed: () => MALFORMED_ANSWER })
  await listener.open()
  context.after(async () => {
    listener.destroy()
    await listener.closeWithin(0)
  })
  return listener
}

/** Connects to the listener. */
export function openGuest (): Guest {
  const socket = connect({ host: HOST, port: PORT })
  let text = ''
  let error: string | undefined
  socket.on('data', (chunk) => { text += chunk.toString('latin1') })
  socket.on('error', ({ code }: NodeJS.ErrnoException) => { error ??= code })
  const ended = new Promise<string | undefined>((resolve) => { socket.once('close', () => { resolve(error) }) })
  return { socket, text: () => text, ended: Promise.race([ended, sleep(WAIT_MILLISECONDS, 'still open', { ref: false })]) }
}

/** Answers a request some time after its body has arrived. */
export async function answerLate (request: IncomingMessage, response: ServerResponse): Promise<void> {
  request.resume()
  if (!request.complete) await once(request, 'end')
  await sleep(RUN_MILLISECONDS)
  response.end(`answer to ${request.url}`)
}
