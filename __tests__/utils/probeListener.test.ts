import assert from 'node:assert/strict'
import { createServer, type AddressInfo } from 'node:net'
import { test } from 'node:test'
import { ListenerState, probeListener } from '../../src/utils/probeListener.js'

// Guards against a refused connection, which shows an end, and one that is not answered, which shows nothing, in one state.
test('a connection that the host refuses is reported as refused, not as unreachable', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await new Promise((resolve) => { server.close(resolve) })
  assert.equal(await probeListener(address, 2_000, 50), ListenerState.Refused)
})

test('a connection that is not established in time is reported as unreachable, not as refused', async (context) => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  context.after(() => { server.close() })
  // Behind a callback of setImmediate, the event loop runs due timers before it looks at sockets.
  await new Promise((resolve) => { setImmediate(resolve) })
  const state = probeListener(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1, 50)
  const blockedUntil = performance.now() + 20
  while (performance.now() < blockedUntil);
  assert.equal(await state, ListenerState.Unreachable)
})
