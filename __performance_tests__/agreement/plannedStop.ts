/**
 * Measures the time without a leader in a group of five replicas with files on disk when the leader is stopped as planned,
 * and the duration of a submission that is sent through a follower at that moment.
 *
 *     node build/__performance_tests__/agreement/plannedStop.js --folder FOLDER --seed 1 --stops 20 --region 55 --handover yes
 */
import { parseArgs } from 'node:util'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { LocalReplicas, createSeededRandom } from './support/LocalReplicas.js'
import { makeSheet } from './support/makeSheet.js'

const REPLICA_COUNT = 5

const { values } = parseArgs({
  options: {
    folder: { type: 'string', default: 'planned-stop-files' },
    seed: { type: 'string', default: '1' },
    stops: { type: 'string', default: '20' },
    region: { type: 'string', default: '55' },
    handover: { type: 'string', default: 'yes' }
  }
})

/** Durations around one planned stop, in milliseconds. */
interface StopFigures { withoutLeader: number, submission: number, stop: number }

const group = new LocalReplicas(values.folder, Number(values.seed), Number(values.region))
const random = createSeededRandom(Number(values.seed))

async function submitSheet (submittingReplica: number, number: number): Promise<void> {
  const content = makeSheet(random, 20_000)
  const { result } = await group.replicas[submittingReplica]!.registry.submit({ number, digest: digestOf(content), content, operator: 'bench' })
  if (result !== SubmitResult.Accepted) throw new Error(`sheet ${number}: ${result}`)
}

async function measureDuration (operation: Promise<unknown>): Promise<number> {
  const startedAt = performance.now()
  await operation
  return Math.round(performance.now() - startedAt)
}

async function stopLeader (number: number): Promise<StopFigures> {
  const leader = await group.waitForLeader()
  await submitSheet(leader, 2 * number)
  const follower = (leader + 1) % REPLICA_COUNT
  const stopping = measureDuration(group.closeReplica(leader, values.handover === 'yes'))
  const submission = measureDuration(submitSheet(follower, 2 * number + 1))
  const withoutLeader = measureDuration(group.waitForLeader())
  const figures = { stop: await stopping, submission: await submission, withoutLeader: await withoutLeader }
  await group.openReplica(leader)
  return figures
}

function summarize (figures: number[]): object {
  const sorted = figures.sort((left, right) => left - right)
  return { p50: sorted[sorted.length >> 1], maximum: sorted.at(-1) }
}

await group.start()
await submitSheet(await group.waitForLeader(), 1)
const stops: StopFigures[] = []
for (let number = 1; number <= Number(values.stops); number += 1) stops.push(await stopLeader(number))
console.log(JSON.stringify({
  ...values,
  withoutLeaderMilliseconds: summarize(stops.map(({ withoutLeader }) => withoutLeader)),
  submissionMilliseconds: summarize(stops.map(({ submission }) => submission)),
  stopMilliseconds: summarize(stops.map(({ stop }) => stop))
}))
await group.destroy()
