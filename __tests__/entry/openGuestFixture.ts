import { connect, type Socket } from 'node:net'
import type { TestContext } from 'node:test'
import { readGuestFields } from '../../platform/wire/readGuestFields.js'
import type { EntryRelayOptions } from '../../src/entry/EntryRelayOptions.js'
import { GuestListener } from '../../src/entry/GuestListener.js'
import { HeldAmount } from '../../src/limits/HeldAmount.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { Counters } from '../../src/observe/Counters.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { openRawServer, type RawServer } from '../support/openRawServer.js'
import { createRelayFixture } from './createRelayFixture.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
const ADDRESS = `127.79.${process.pid >> 8 & 255}.${process.pid & 255}:7000`
const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** An entry host's listener with upstreams whose bytes the test writes. */
export interface GuestFixture {
  upstreams: RawServer[]
  /** Opens a connection as a guest. */
  connect: () => Promise<GuestSocket>
}

/** A guest's connection. */
export interface GuestSocket {
  socket: Socket
  /** Everything received so far. */
  text: () => string
  closed: Promise<void>
}

/** Opens upstreams that respond as given and an entry host's listener that relays to them. */
export async function openGuestFixture (context: TestContext, respond: Parameters<typeof openRawServer>[0], routeOverrides: Partial<PlanRoute> = {}, upstreamCount = 1, options: Partial<EntryRelayOptions> = {}): Promise<GuestFixture> {
  const upstreams: RawServer[] = []
  for (let number = 0; number < upstreamCount; number += 1) upstreams.push(await openRawServer(respond))
  const { relay, known, connections } = createRelayFixture(upstreams.map(({ address }) => address), routeOverrides, options)
  const guestListener = new GuestListener({ known, relay, stopWindow: new StopWindow(), bodies: { large: new HeldAmount(67_108_864) }, readFields: readGuestFields, random: () => 0, counters: new Counters(), log: silentLog })
  const listener = new HttpListener({ address: ADDRESS, headerBytes: 65_536, handle: (message, response) => guestListener.handle(message, response), onMalformed: () => '' })
  await listener.open()
  context.after(async () => {
    listener.destroy()
    await listener.closeWithin(0)
    await connections.destroy()
    for (const upstream of upstreams) await upstream.close()
  })
  return { upstreams, connect: connectGuest }
}

/** @returns the head of a guest's request */
export function composeRequestHead (method = 'GET', extra = ''): string {
  return `${method} /lookups/1 HTTP/1.1\r\nhost: stock.example\r\nattempt-id: attempt-1\r\ndeadline-ms: 3000\r\n${extra}\r\n`
}

async function connectGuest (): Promise<GuestSocket> {
  const [host, port] = ADDRESS.split(':')
  const socket = connect({ host, port: Number(port) })
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.on('error', () => {})
  const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
  await new Promise<void>((resolve) => { socket.once('connect', resolve) })
  return { socket, text: () => text, closed }
}
