import assert from 'node:assert/strict'
import { test } from 'node:test'
import { spendBudget } from '../../examples/embed/budgetLeases.js'
import { countVotes } from '../../examples/embed/replicatedLog.js'

test('all replicas of an embedded replicated log count the same votes', async () => {
  assert.deepEqual(await countVotes(['fabada', 'paella', 'fabada']), [{ fabada: 2, paella: 1 }, { fabada: 2, paella: 1 }, { fabada: 2, paella: 1 }])
})

test('embedded budget leases never exceed the budget, and a busy host gets more than its static share', async () => {
  const spent = await spendBudget(10)
  assert.ok(spent.every((amount) => amount <= 101), `${spent}`)
  assert.ok(Math.max(...spent) > 50, `${spent}`)
})
