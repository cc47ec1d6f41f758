import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { request } from 'undici'
import { PeerCallError } from '../../src/errors/PeerCallError.js'
import { Counters } from '../../src/observe/Counters.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { PeerClient } from '../../src/transport/PeerClient.js'
import { PeerServer } from '../../src/transport/PeerServer.js'
import { PeerSignature, SIGNATURE_HEADER } from '../../src/transport/PeerSignature.js'
import { readBody } from '../../src/transport/readBody.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { pauseClock } from '../support/pauseClock.js'

const ADDRESS = '127.78.0.1:7100'
const KEY = 'k'.repeat(32)
const counters = new Counters()
const server = new PeerServer(new PeerSignature(KEY), counters)
const listener = new HttpListener({ address: ADDRESS, headerBytes: 16_384, handle: (message, response) => server.handle(message, response), onMalformed: () => '' })
const client = new PeerClient(new PeerSignature(KEY), () => ADDRESS)

before(async () => {
  server.register(PeerMethod.Probe, (parameters: { number: number }) => ({ twice: parameters.number * 2 }))
  server.register(PeerMethod.Heartbeat, async () => await new Promise(() => {}))
  server.register(PeerMethod.Propose, () => { throw new Error('no') })
  await listener.open()
})
after(async () => {
  await client.close()
  await listener.closeWithin(0)
  listener.destroy()
})

test('a call returns its answer, even with a timeout that is not a whole number of milliseconds', async () => {
  assert.deepEqual(await client.call('host:1', PeerMethod.Probe, { number: 21 }, 1000.25), { twice: 42 })
})

const FAILURES: Array<{ name: string, method: PeerMethod, timeoutMilliseconds: number, refused: boolean }> = [
  { name: 'a peer that does not answer in time', method: PeerMethod.Heartbeat, timeoutMilliseconds: 50.5, refused: false },
  { name: 'a handler that throws', method: PeerMethod.Propose, timeoutMilliseconds: 10_000, refused: true },
  { name: 'a method without a handler', method: PeerMethod.LedgerClaim, timeoutMilliseconds: 10_000, refused: true }
]

for (const { name, method, timeoutMilliseconds, refused } of FAILURES) {
  test(`${name} fails the call with refused ${refused} and the peer's address`, async () => {
    await assert.rejects(client.call('host:1', method, {}, timeoutMilliseconds), (error) => error instanceof PeerCallError && error.refused === refused && error.peer === 'host:1')
  })
}

test('a call signed with another key fails instead of hanging', async () => {
  const foreignClient = new PeerClient(new PeerSignature('x'.repeat(32)), () => ADDRESS)
  await assert.rejects(foreignClient.call('host:1', PeerMethod.Probe, { number: 1 }, 1000), PeerCallError)
  await foreignClient.close()
})

const INVALID_SIGNATURES: Array<{ name: string, signature: string | undefined }> = [
  { name: 'no signature', signature: undefined },
  { name: 'a signature by another key', signature: new PeerSignature('x'.repeat(32)).sign({ path: '/rpc', head: '', body: '{}' }) },
  { name: 'the signature of another body', signature: new PeerSignature(KEY).sign({ path: '/rpc', head: '', body: '{ }' }) },
  { name: 'the signature of another path', signature: new PeerSignature(KEY).sign({ path: '/relay', head: '', body: '{}' }) },
  { name: 'a malformed signature', signature: 'yesterday.abc' }
]

for (const { name, signature } of INVALID_SIGNATURES) {
  test(`a call with ${name} is answered with status 401 and counted`, async () => {
    const previousCount = counters.read(`refused.${RefusalReason.Unauthorized}`)
    const headers = signature === undefined ? {} : { [SIGNATURE_HEADER]: signature }
    const answer = await request(`http://${ADDRESS}/rpc`, { method: 'POST', headers, body: '{}' })
    await answer.body.dump()
    assert.equal(answer.statusCode, 401)
    assert.equal(counters.read(`refused.${RefusalReason.Unauthorized}`), previousCount + 1)
  })
}

test('a signature expires after one minute', (context) => {
  pauseClock(context)
  const signature = new PeerSignature(KEY)
  const parts = { path: '/rpc', head: '', body: '{}' }
  const signed = signature.sign(parts)
  context.mock.timers.tick(60_000)
  assert.equal(signature.verify(signed, parts), true)
  context.mock.timers.tick(1)
  assert.equal(signature.verify(signed, parts), false)
})

const LOCAL_ADDRESS = '127.78.0.1:7199'
const localClient = new PeerClient(new PeerSignature(KEY), () => ADDRESS, { address: LOCAL_ADDRESS, handlerOf: (method) => server.handlerOf(method) })

test('a call of the local host is answered without a connection, and caller and handler share no objects', async () => {
  const receivedParameters: object[] = []
  server.register(PeerMethod.LedgerRead, (parameters: object) => { receivedParameters.push(parameters); return { given: parameters, absent: undefined } })
  const parameters = { list: [1] }
  const answer = await localClient.call<{ given: object }>(LOCAL_ADDRESS, PeerMethod.LedgerRead, parameters, 1000)
  assert.deepEqual(answer, { given: { list: [1] } })
  assert.notEqual(receivedParameters[0], parameters)
  assert.notEqual(answer.given, receivedParameters[0])
  assert.equal(localClient.bytesSent, 0)
})

for (const { name, method, refused } of FAILURES) {
  test(`at the local host, ${name} fails the call as at a remote host`, async () => {
    await assert.rejects(localClient.call(LOCAL_ADDRESS, method, {}, 50.5), (error) => error instanceof PeerCallError && error.refused === refused && error.peer === LOCAL_ADDRESS)
  })
}

/** A message as control hosts exchange them: many entries of the same form. */
const LARGE_PARAMETERS = { number: 4, entries: Array.from({ length: 60 }, (_, number) => ({ name: `entry-oviedo-${number}`, domain: 'oviedo', region: 'asturias', guestAddress: `10.1.0.${number}:8144`, isReady: true })) }
const LARGE_BYTES = JSON.stringify(LARGE_PARAMETERS).length

test('large calls are compressed once the peer has said that it accepts that', async () => {
  const sender = new PeerClient(new PeerSignature(KEY), () => ADDRESS)
  const sizes: number[] = []
  for (let call = 0; call < 2; call += 1) {
    const before = sender.bytesSent
    assert.deepEqual(await sender.call('host:1', PeerMethod.Probe, LARGE_PARAMETERS, 1_000), { twice: 8 })
    sizes.push(sender.bytesSent - before)
  }
  await sender.close()
  assert.ok(sizes[0]! >= LARGE_BYTES)
  assert.ok(sizes[1]! < LARGE_BYTES / 5, `${sizes[1]} of ${sizes[0]} bytes`)
})

test('calls to a peer of an earlier version, which does not say so, are never compressed', async () => {
  const address = '127.78.0.2:7100'
  const encodings: unknown[] = []
  const earlier = new HttpListener({
    address,
    headerBytes: 16_384,
    handle: async (message, response) => {
      encodings.push(message.headers['content-encoding'])
      const { id } = JSON.parse((await readBody(message, 100_000))!.toString()) as { id: number }
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ jsonrpc: '2.0', id, result: 'earlier' }))
    },
    onMalformed: () => ''
  })
  await earlier.open()
  const sender = new PeerClient(new PeerSignature(KEY), () => address)
  for (let call = 0; call < 2; call += 1) assert.equal(await sender.call('host:2', PeerMethod.Probe, LARGE_PARAMETERS, 1_000), 'earlier')
  await sender.close()
  await earlier.closeWithin(0)
  earlier.destroy()
  assert.deepEqual(encodings, [undefined, undefined])
})

test('a compressed call that is corrupt is refused', async () => {
  const body = Buffer.from('not compressed')
  const answer = await request(`http://${ADDRESS}/rpc`, { method: 'POST', headers: { 'content-encoding': 'gzip', [SIGNATURE_HEADER]: new PeerSignature(KEY).sign({ path: '/rpc', head: '', body }) }, body })
  await answer.body.dump()
  assert.equal(answer.statusCode, 400)
})

test('a call fails instead of hanging when its answer names no call, as that of a peer that could not read it', async () => {
  const address = '127.78.0.6:7100'
  const listenerWithoutId = new HttpListener({
    address,
    headerBytes: 16_384,
    handle: async (_message, response) => { response.writeHead(200).end(JSON.stringify({ jsonrpc: '2.0', id: null, error: { code: -32_700, message: 'Parse error' } })) },
    onMalformed: () => ''
  })
  await listenerWithoutId.open()
  const sender = new PeerClient(new PeerSignature(KEY), () => address)
  await assert.rejects(sender.call('host:3', PeerMethod.Probe, { number: 1 }, 500), PeerCallError)
  await sender.close()
  await listenerWithoutId.closeWithin(0)
  listenerWithoutId.destroy()
})
