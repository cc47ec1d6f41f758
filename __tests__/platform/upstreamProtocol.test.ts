import assert from 'node:assert/strict'
import { test } from 'node:test'
import { upstreamProtocol } from '../../platform/wire/upstreamProtocol.js'
import { createEntryRequest } from '../entry/createEntryRequest.js'
import { createAccount } from '../plan/createPlan.js'

const guestHeaders = [{ name: 'host', value: 'stock.example' }, { name: 'key', value: 'secret' }, { name: 'tenant', value: 'pretended' }]
const ownHeaders = [{ name: 'deadline-ms', value: '500' }, { name: 'expected-instance', value: 'i-1' }]

// Guards against keys that reach upstreams, and against guests that choose the account in whose name they act.
test('upstreams get the name of the account in place of the key and of what the guest claims', () => {
  const compose = (access?: Parameters<typeof createEntryRequest>[1]) => upstreamProtocol.composeHeaders(createEntryRequest({}, { headers: guestHeaders, ...access }), 'i-1', 500)
  assert.deepEqual(compose({ access: { account: createAccount({ name: 'acme' }) } }), [guestHeaders[0], ...ownHeaders, { name: 'tenant', value: 'acme' }])
  assert.deepEqual(compose({ access: { account: undefined } }), [guestHeaders[0], ...ownHeaders])
  assert.deepEqual(compose(), [...guestHeaders, ...ownHeaders])
})

// Guards against load reports that are discarded whole because of the figure that some upstreams add.
test('a load report is read with and without the present time of work', () => {
  const read = (value: string) => upstreamProtocol.readLoad({ status: 200, headers: [{ name: 'server-load', value }], body: Buffer.alloc(0), endsWithConnection: false, finished: Promise.resolve(undefined) })
  assert.deepEqual(read('3,1,8'), { running: 3, waiting: 1, slots: 8, workPercent: undefined })
  assert.deepEqual(read('3,1,8,250'), { running: 3, waiting: 1, slots: 8, workPercent: 250 })
  assert.deepEqual([read('3,1'), read('3,1,8,x'), read('')], [undefined, undefined, undefined])
})
