import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { request } from 'undici'
import { PeerCallError } from '../../src/errors/PeerCallError.js'
import { Counters } from '../../src/observe/Counters.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { PeerClient } from '../../src/transport/PeerClient.js'
import { PeerServer } from '../../src/transport/PeerServer.js'
import { PeerSignature, SIGNATURE_HEADER } from '../../src/transport/PeerSignature.js'
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
