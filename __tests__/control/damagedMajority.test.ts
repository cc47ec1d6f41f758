import { test, type TestContext } from 'node:test'
import { ReplicaFile } from '../../src/agreement/storage/ReplicaFile.js'
import type { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 6
const LOG_PATH = `/data/${ReplicaFile.Log}`
/** Longer than replicas take to begin anew. */
const DAMAGED_MILLISECONDS = 10_000

// Guards against an acknowledged plan that is given up with files that are readable again at the next start.
test('files of three control hosts that are unusable at one start and intact at the next lose no acknowledged plan', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  const killed = [...cluster.hosts]
  for (const host of killed) cluster.kill(host)
  const damaged = killed.slice(0, HOST_COUNT / 2)
  const intactLogs = new Map<number, Buffer>()
  for (const [index, { files }] of damaged.entries()) {
    intactLogs.set(index, (await files.restartProcess().read(LOG_PATH))!)
  }
  const first = await cluster.restart(killed, (files) => {
    const found = files.restartProcess()
    if (damaged.some((host) => host.files === files)) found.damage(LOG_PATH, (content) => Buffer.from(content).fill(7, 0, 8))
    return found
  })
  await cluster.advance(DAMAGED_MILLISECONDS)
  for (const host of first) cluster.kill(host)
  const second = await cluster.restart(first, (files: MemoryFiles) => {
    const found = files.restartProcess()
    const intactLog = intactLogs.get(first.findIndex((host) => host.files === files))
    if (intactLog !== undefined) found.damage(LOG_PATH, () => intactLog)
    return found
  })
  await cluster.waitUntil(async () => (await second.at(-1)!.process.plans.read())?.current?.plan.version === 1, 'the acknowledged plan is read')
})
