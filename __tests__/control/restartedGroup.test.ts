import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 6

for (const seed of [1, 2, 3, 4, 5]) {
  // Guards against a leader that steps down since an old membership in its log, from before it voted, is applied again after a restart.
  test(`after a kill of all control hosts the first leader goes on, with seed ${seed}`, async (context: TestContext) => {
    const cluster = await ControlCluster.start(context, HOST_COUNT, seed)
    const killed = [...cluster.hosts]
    for (const host of killed) cluster.kill(host)
    const restarted = await cluster.restart(killed, (files) => files.restartProcess())
    await cluster.waitUntil(async () => (await restarted[0]!.process.plans.read())?.current?.plan.version === 1, 'the plan is read')
    await cluster.advance(2_000)
    const count = (event: string): number => restarted.flatMap(({ events }) => events).filter((each) => each === event).length
    assert.deepEqual([count('leader-elected'), count('leadership-ended')], [1, 0])
  })
}
