/**
 * Measures the time that a restarted replica needs to catch up, by the number of changes that it missed.
 *
 *     node build/__performance_tests__/agreement/catchUp.js --folder FOLDER --seed 1 --missed 50,500,2000 --bytes 20000 --region 55
 */
import { parseArgs } from 'node:util'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { pause } from '../../src/utils/pause.js'
import { LocalReplicas, createSeededRandom } from './support/LocalReplicas.js'
import { makeSheet } from './support/makeSheet.js'

const POLL_MILLISECONDS = 1

const { values } = parseArgs({
  options: {
    folder: { type: 'string', default: 'catch-up-files' },
    seed: { type: 'string', default: '1' },
    missed: { type: 'string', default: '50,500,2000' },
    bytes: { type: 'string', default: '20000' },
    region: { type: 'string', default: '55' }
  }
})

async function measureCatchUp (missed: number): Promise<void> {
  const group = new LocalReplicas(`${values.folder}-${missed}`, Number(values.seed), Number(values.region))
  const random = createSeededRandom(Number(values.seed))
  await group.start()
  const leader = await group.waitForLeader()
  const stoppedNumber = (leader + 3) % 5
  await group.closeReplica(stoppedNumber)
  for (let number = 1; number <= missed; number += 1) {
    const content = makeSheet(random, Number(values.bytes))
    const { result } = await group.replicas[leader]!.registry.submit({ number, digest: digestOf(content), content, operator: 'bench' })
    if (result !== SubmitResult.Accepted) throw new Error(`sheet ${number}: ${result}`)
  }
  const sentBefore = group.sentBytes
  const startedAt = performance.now()
  const restartedReplica = await group.openReplica(stoppedNumber)
  while (restartedReplica.registry.current()?.number !== missed) await pause(POLL_MILLISECONDS)
  const milliseconds = Math.round(performance.now() - startedAt)
  console.log(JSON.stringify({ seed: Number(values.seed), missed, sheetBytes: Number(values.bytes), regionMilliseconds: Number(values.region), milliseconds, sentBytes: group.sentBytes - sentBefore }))
  await group.destroy()
}

for (const missed of values.missed.split(',').map(Number)) await measureCatchUp(missed)
