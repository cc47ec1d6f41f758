import { request } from 'node:http'
import { splitAddress } from '../../src/utils/splitAddress.js'
import type { Attempt } from './SoakRecord.js'

/** An answer to a call of an operator. */
export interface OrderAnswer extends Attempt {
  text: string
}

/** A call to a control host. */
export interface Call {
  address: string
  controlHost: number
  method: 'GET' | 'POST'
  path: string
  body: string
  /** Time to wait for the answer, in milliseconds. */
  milliseconds: number
}

/** @returns the answer to a call on a connection of its own, without a status when none came in time */
export async function sendOrder ({ address, controlHost, method, path, body, milliseconds }: Call): Promise<OrderAnswer> {
  const sentAt = performance.now()
  const { host, port } = splitAddress(address)
  return await new Promise((resolve) => {
    const settle = (status: number | undefined, text = ''): void => {
      clearTimeout(timer)
      resolve({ controlHost, sentAt, endedAt: performance.now(), status, text })
      outgoing.destroy()
    }
    const outgoing = request({ host, port, method, path, agent: false, headers: { 'content-length': Buffer.byteLength(body) } }, (answer) => {
      let text = ''
      answer.on('data', (chunk: Buffer) => { text += chunk.toString() })
      answer.on('error', () => { settle(undefined) })
      answer.on('end', () => { settle(answer.statusCode, text) })
    })
    const timer = setTimeout(() => { settle(undefined) }, milliseconds)
    outgoing.on('error', () => { settle(undefined) })
    outgoing.end(body)
  })
}
