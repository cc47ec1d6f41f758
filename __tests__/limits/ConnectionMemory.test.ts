import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ConnectionMemory, ConnectionState } from '../../src/limits/ConnectionMemory.js'
import { HeldAmount } from '../../src/limits/HeldAmount.js'

const MAXIMUM_BYTES = 100

function createFixture (): { memory: ConnectionMemory, all: HeldAmount, closed: string[], open: (name: string, bytes: number, state: ConnectionState) => ReturnType<ConnectionMemory['open']> } {
  const all = new HeldAmount(1_000)
  const memory = new ConnectionMemory(MAXIMUM_BYTES, all)
  const closed: string[] = []
  return {
    memory,
    all,
    closed,
    open: (name, bytes, state) => {
      const share = memory.open(() => { closed.push(name) })
      share.record(bytes, state)
      return share
    }
  }
}

// Guards against connections that keep their place for ever, so that no other caller gets one.
test('beyond the bound the connection is closed whose request has been arriving for the longest time', () => {
  const { closed, open, memory } = createFixture()
  open('first', 40, ConnectionState.Arriving)
  open('second', 40, ConnectionState.Arriving)
  open('third', 40, ConnectionState.Arriving)
  assert.deepEqual(closed, ['first'])
  assert.equal(memory.heldBytes, 80)
  assert.equal(memory.closed, 1)
})

// Guards against a request that is broken off although parts of other requests can go.
test('idle connections are closed after those whose request arrives, unread ones last, and busy ones never', () => {
  const { closed, open } = createFixture()
  open('unread', 20, ConnectionState.Unread)
  open('busy', 20, ConnectionState.Busy)
  open('idle', 20, ConnectionState.Idle)
  open('arriving', 20, ConnectionState.Arriving)
  open('large', 95, ConnectionState.Busy)
  assert.deepEqual(closed, ['arriving', 'idle', 'unread'])
})

// Guards against a slow caller that is closed before one that began earlier, only because it has sent something since.
test('further bytes of a request do not make its connection a newer one', () => {
  const { closed, open } = createFixture()
  const first = open('first', 20, ConnectionState.Arriving)
  open('second', 20, ConnectionState.Arriving)
  first.record(30, ConnectionState.Arriving)
  open('third', 60, ConnectionState.Arriving)
  assert.deepEqual(closed, ['first'])
})

// Guards against two budgets that together exceed the memory of the machine.
test('what connections hold counts in what all messages may hold, until it is released', () => {
  const { all, open } = createFixture()
  const share = open('one', 90, ConnectionState.Busy)
  assert.equal(all.tryTake(920), false)
  share.release()
  share.record(50, ConnectionState.Idle)
  assert.equal(all.held, 0)
  assert.equal(all.tryTake(920), true)
})
