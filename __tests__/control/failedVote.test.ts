import { test, type TestContext } from 'node:test'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 5
const SYNC_MILLISECONDS = 1_500

// Guards against a write of the log that fails unheeded, because the write of the vote before it failed first; the runner reports such a rejection.
test('a disk that fails while a vote is being written leaves no failure unhandled', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  const leader = cluster.hosts.findIndex(({ events }) => events.includes('leader-elected'))
  const [slow, ...others] = cluster.hosts.filter((_, index) => index !== leader)
  slow!.files.syncMilliseconds = SYNC_MILLISECONDS
  cluster.kill(cluster.hosts[leader]!)
  await cluster.waitUntil(() => others.some(({ events }) => events.includes('leader-elected')), 'another leader')
  await cluster.advance(SYNC_MILLISECONDS / 3)
  slow!.files.crash()
  await cluster.advance(2 * SYNC_MILLISECONDS)
})
