import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CrashExchange } from '../../src/crashes/CrashExchange.js'
import type { PeerHandler } from '../../src/transport/PeerHandler.js'
import type { PeerMethod } from '../../src/types/PeerMethod.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
const NAMES = ['a', 'b', 'c']

/** Control hosts whose calls go through a map in memory; hosts in `cutOff` neither send nor receive. */
class MemoryControlHosts {
  readonly cutOff = new Set<string>()
  readonly exchanges = new Map<string, CrashExchange>()
  readonly #handlers = new Map<string, PeerHandler<object, unknown>>()

  constructor () {
    for (const name of NAMES) this.start(name)
  }

  /** Starts a host, or starts it again without what it knew. */
  start (name: string): CrashExchange {
    this.exchanges.get(name)?.stop()
    const exchange = new CrashExchange({
      hostName: () => name,
      listPeers: () => NAMES.filter((other) => other !== name),
      callPeer: async <Result>(address: string, method: PeerMethod, request: object) => {
        if (this.cutOff.has(name) || this.cutOff.has(address)) throw new Error('cut off')
        return await this.#handlers.get(`${address} ${method}`)!(request) as Result
      },
      registerHandler: (method, handler) => { this.#handlers.set(`${name} ${method}`, handler as PeerHandler<object, unknown>) },
      persist: async () => {},
      onChange: () => {},
      log: silentLog
    })
    exchange.start()
    this.exchanges.set(name, exchange)
    return exchange
  }

  countLosses (): number[] {
    return NAMES.map((name) => this.exchanges.get(name)!.table.countLosses('f'))
  }

  stop (): void {
    for (const exchange of this.exchanges.values()) exchange.stop()
  }

  /** Reports a loss to a host, as an entry host does. */
  async report (name: string, upstream: string): Promise<void> {
    const handler = this.#handlers.get(`${name} control.report-crashes`)!
    await handler({ hostName: 'entry', report: { requests: [{ fingerprint: 'f', lostUpstreams: [upstream], excusedUpstreams: [] }], unreachableUpstreams: [] } })
  }
}

test('a loss that one control host is told of is known at all of them at once', async (context) => {
  pauseClock(context)
  const hosts = new MemoryControlHosts()
  context.after(() => { hosts.stop() })
  await hosts.report('a', 'u@1')
  await advance(context, 50)
  assert.deepEqual(hosts.countLosses(), [1, 1, 1])
})

test('losses on both sides of a cut are known everywhere soon after it', async (context) => {
  pauseClock(context)
  const hosts = new MemoryControlHosts()
  context.after(() => { hosts.stop() })
  hosts.cutOff.add('a')
  await hosts.report('a', 'u@1')
  await hosts.report('b', 'u@2')
  await advance(context, 50)
  assert.deepEqual(hosts.countLosses(), [1, 1, 1], 'each side knows its own loss')
  hosts.cutOff.clear()
  await advance(context, 700)
  assert.deepEqual(hosts.countLosses(), [2, 2, 2])
})

test('a control host that was started again takes what the others are told later', async (context) => {
  pauseClock(context)
  const hosts = new MemoryControlHosts()
  context.after(() => { hosts.stop() })
  await hosts.report('a', 'u@1')
  await advance(context, 50)
  const knownBefore = hosts.exchanges.get('b')!.table.changedSince(0)
  hosts.start('b').restore(knownBefore)
  await hosts.report('c', 'u@2')
  await advance(context, 50)
  assert.deepEqual(hosts.countLosses(), [2, 2, 2])
})
