import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { NoisyDay, type NoisyDayResult } from '../../__performance_tests__/placement/NoisyDay.js'
import { noisyPatterns, type NoisyPattern } from '../../__performance_tests__/placement/noisyPatterns.js'

const RATIO = 0.05
const SEED = 1

/** Simulates a day with second attempts off and on, and reports the figures. */
async function compare (context: TestContext, { settings }: NoisyPattern): Promise<{ off: NoisyDayResult, on: NoisyDayResult }> {
  const off = await new NoisyDay({ ...settings, seed: SEED, secondAttemptRatio: 0 }).simulate()
  const on = await new NoisyDay({ ...settings, seed: SEED, secondAttemptRatio: RATIO }).simulate()
  for (const [name, { p99, withinObjective, served, extraRatio }] of Object.entries({ off, on })) {
    context.diagnostic(`${name}: 99th percentile ${p99} ms, ${(withinObjective * 100).toFixed(1)}% within the objective, ${(served * 100).toFixed(1)}% answered, ${(extraRatio * 100).toFixed(1)}% extra`)
  }
  assert.deepEqual(off.second, { begun: 0, won: 0, lost: 0, denied: 0 })
  assert.ok(on.largestExtraRatio <= RATIO, `${on.largestExtraRatio} second attempts per request in a window`)
  return { off, on }
}

// Guards against guests that wait for the few pieces of work that take seven times as long, or get 504 for them.
test('on upstreams that share their machines, second attempts shorten the slowest responses', async (context) => {
  const { off, on } = await compare(context, noisyPatterns.noise)
  assert.ok(on.p99 < 0.75 * off.p99, `${off.p99} ms without, ${on.p99} ms with second attempts`)
  assert.ok(on.served > off.served + 0.01, `${off.served} served without, ${on.served} with second attempts`)
  assert.ok(on.withinObjective > off.withinObjective - 0.01, `${off.withinObjective} within the objective without, ${on.withinObjective} with second attempts`)
})

// Guards against cold runs for the sake of a few slow warm ones, which would evict other objects.
test('second attempts on objects that upstreams hold warm do not make other runs cold', async (context) => {
  const { off, on } = await compare(context, noisyPatterns.warmObjects)
  assert.ok(on.p99 < off.p99, `${off.p99} ms without, ${on.p99} ms with second attempts`)
  assert.ok(on.withinObjective > off.withinObjective - 0.01, `${off.withinObjective} within the objective without, ${on.withinObjective} with second attempts`)
})

// Guards against an upstream that is slow without failing, which no avoidance notices.
test('requests at a grey upstream are answered by others', async (context) => {
  const { off, on } = await compare(context, noisyPatterns.grey)
  assert.ok(on.served > off.served + 0.01, `${off.served} served without, ${on.served} with second attempts`)
})

// Guards against second attempts that take slots from requests that have none.
test('under full load hardly any second attempt begins, and no fewer requests are answered', async (context) => {
  const { off, on } = await compare(context, noisyPatterns.fullLoad)
  assert.ok(on.extraRatio <= 0.003, `${on.extraRatio} second attempts per request`)
  assert.ok(on.served >= off.served - 0.01, `${off.served} served without, ${on.served} with second attempts`)
})

// Guards against a load that grows because it is slow.
test('while all work takes longer, second attempts do not grow the load beyond their ratio', async (context) => {
  const { off, on } = await compare(context, noisyPatterns.storm)
  assert.ok(on.slotMilliseconds <= (1 + RATIO) * off.slotMilliseconds, `${off.slotMilliseconds} ms of slots without, ${on.slotMilliseconds} ms with second attempts`)
  assert.ok(on.served >= off.served, `${off.served} served without, ${on.served} with second attempts`)
})
