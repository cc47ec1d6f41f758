import assert from 'node:assert/strict'
import { test } from 'node:test'
import { authorizeRequest } from '../../src/entry/authorizeRequest.js'
import { combineHomeRegions } from '../../src/plan/combineHomeRegions.js'
import { AccountTable } from '../../src/plan/AccountTable.js'
import { digestKey } from '../../src/plan/digestKey.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createAccount, createRoute } from '../plan/createPlan.js'

const account = createAccount({ keyDigests: [digestKey('first'), digestKey('second')] })
const accounts = new AccountTable([account])
const publicRoute = createRoute({ isPublic: true })

// Guards against requests that run without a valid key, or in the name of another account.
test('a request is served only with a key that an account of the plan holds, unless its route is public', () => {
  const check = (key: string | undefined, route = createRoute()) => authorizeRequest({ accounts, route, key, areKeysConfirmed: true })
  assert.deepEqual([check('first'), check('second')], [{ account }, { account }])
  assert.deepEqual([check('third'), check(undefined), check('')], [RefusalReason.Unauthorized, RefusalReason.Unauthorized, RefusalReason.Unauthorized])
  assert.deepEqual([check(undefined, publicRoute), check('third', publicRoute), check('first', publicRoute)], [{ account: undefined }, { account: undefined }, { account }])
})

// Guards against a host that serves a key which was withdrawn while it was cut off, or that tells a guest for good that its key is unknown.
test('without a confirmed plan requests with a key are refused for the time being, and public routes are served', () => {
  const check = (key: string | undefined, route = createRoute()) => authorizeRequest({ accounts, route, key, areKeysConfirmed: false })
  assert.deepEqual([check('first'), check('third')], [RefusalReason.KeysUnconfirmed, RefusalReason.KeysUnconfirmed])
  assert.deepEqual(check('first', publicRoute), { account: undefined })
})

// Guards against deployments without accounts whose guests are asked for keys.
test('a plan without accounts asks for no key', () => {
  assert.equal(authorizeRequest({ accounts: undefined, route: createRoute(), key: undefined, areKeysConfirmed: false }), undefined)
})

// Guards against requests that run outside the home regions of their account or of their route.
test('home regions of the account and of the route both bind', () => {
  assert.equal(combineHomeRegions({ homeRegions: [] }, undefined), undefined)
  assert.deepEqual(combineHomeRegions({ homeRegions: ['asturias'] }, { homeRegions: [] }), ['asturias'])
  assert.deepEqual(combineHomeRegions({ homeRegions: ['asturias', 'euskadi'] }, { homeRegions: ['euskadi'] }), ['euskadi'])
  assert.deepEqual(combineHomeRegions({ homeRegions: ['asturias'] }, { homeRegions: ['euskadi'] }), [])
})
