import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { EntryRequest } from '../../src/entry/EntryRequest.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { routeOf } from '../plan/planOf.js'
import { relayOf } from './relayOf.js'
import { openRawServer, type RawServer } from '../support/rawServer.js'

const quiet = { info: () => {}, warn: () => {}, error: () => {} }
const ID = 'attempt-1'

type Respond = Parameters<typeof openRawServer>[0]

function answer (status: string, headers: string, body = ''): Respond {
  return (socket) => { socket.write(`HTTP/1.1 ${status}\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`) }
}

const good = answer('200 OK', `attempt-id: ${ID}\r\nresponse-signature: s\r\n`, 'whole')
const shed = answer('503 Full', 'not-executed: 1\r\n')
const shedWithRoom = answer('503 Full', 'not-executed: 1\r\nserver-load: 1,0,4\r\n')
const lost: Respond = (socket) => { socket.destroy() }
const foreign = answer('200 OK', 'attempt-id: another\r\nresponse-signature: s\r\n', 'of another')
const unsigned = answer('200 OK', `attempt-id: ${ID}\r\n`, 'nobody knows')
const moved = answer('421 Other', 'instance-id: i-9\r\n')
const unproved = answer('503 Full', `attempt-id: ${ID}\r\n`)

interface Outcome {
  status: number
  sends: number
}

const lines: Array<Record<string, unknown>> = []
const keepLine = (_event: string, fields: object): void => { lines.push(fields as Record<string, unknown>) }

/** Sends one request to upstreams that all answer in one way first and well from the second send on. */
async function serve (context: TestContext, first: Respond, part: Partial<PlanRoute> = {}): Promise<Outcome> {
  let sends = 0
  const servers: RawServer[] = []
  const respond: Respond = (socket, head, count) => { (++sends === 1 ? first : good)(socket, head, count) }
  for (let number = 0; number < 2; number += 1) servers.push(await openRawServer(respond))
  const { relay, connections } = relayOf(servers.map(({ address }) => address), part, { log: { ...quiet, info: keepLine, warn: keepLine } })
  const now = performance.now()
  const request: EntryRequest = { id: ID, method: 'GET', path: '/lookups/1', headers: [], body: Buffer.alloc(0), route: routeOf(part), objectKey: '1', guestDeadline: now + 1_000, deadline: now + 1_000, arrivedAt: now, readMilliseconds: 0, cancelled: new AbortController().signal }
  const result = await relay.serve(request)
  context.after(async () => {
    await connections.destroy()
    for (const server of servers) await server.close()
  })
  return { status: result.status, sends }
}

const oneTime = { requestClass: RequestClass.OneTime }
const cases: Array<[name: string, first: Respond, part: Partial<PlanRoute>, expected: Outcome]> = [
  ['an answer is passed on', good, {}, { status: 200, sends: 1 }],
  ['an idempotent request whose answer is lost is sent once more', lost, {}, { status: 200, sends: 2 }],
  ['a one-time request whose answer is lost is not sent again, and not called refused', lost, oneTime, { status: 502, sends: 1 }],
  ['a one-time request that was shed is sent once more', shed, oneTime, { status: 200, sends: 2 }],
  ['a one-time request met by another upstream is sent once more', moved, oneTime, { status: 200, sends: 2 }],
  ['the answer to another request does not reach the guest', foreign, oneTime, { status: 502, sends: 1 }],
  ['a success without proof of its upstream does not reach the guest', unsigned, oneTime, { status: 502, sends: 1 }],
  ['a refusal that the upstream does not confirm is not passed on as one', unproved, oneTime, { status: 502, sends: 1 }],
  ['the most attempts of the route bound the sends', shed, { mostAttempts: 1 }, { status: 503, sends: 1 }]
]

for (const [name, first, part, expected] of cases) {
  test(name, async (context) => {
    assert.deepEqual(await serve(context, first, part), expected)
  })
}

test('an upstream that refuses although it has room gets the next attempt, and the log line names each attempt', async (context) => {
  assert.deepEqual(await serve(context, shedWithRoom, oneTime), { status: 200, sends: 2 })
  const [first, second] = String(lines[lines.length - 1]!.tried).split(',')
  assert.ok(first !== undefined && first === second)
})
