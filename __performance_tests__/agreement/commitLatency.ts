/**
 * Measures the time from the submission of a sheet to its acceptance, with five replicas and files on disk.
 *
 *     node build/__performance_tests__/agreement/commitLatency.js --folder FOLDER --seed 1 --changes 200 --bytes 20000 --region 55
 */
import { parseArgs } from 'node:util'
import { build } from 'hdr-histogram-js'
import { ReplicaCounter } from '../../src/agreement/ReplicaCounter.js'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { SheetCounter } from '../../src/agreement/sheets/SheetCounter.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { LocalReplicas, createSeededRandom } from './support/LocalReplicas.js'
import { makeSheet } from './support/makeSheet.js'

const MICROSECONDS_PER_MILLISECOND = 1_000

const { values } = parseArgs({
  options: {
    folder: { type: 'string', default: 'commit-latency-files' },
    seed: { type: 'string', default: '1' },
    changes: { type: 'string', default: '200' },
    bytes: { type: 'string', default: '20000' },
    region: { type: 'string', default: '55' },
    through: { type: 'string', default: 'leader' }
  }
})

const seed = Number(values.seed)
const changes = Number(values.changes)
const group = new LocalReplicas(values.folder, seed, Number(values.region))
const random = createSeededRandom(seed)
await group.start()
const leader = await group.waitForLeader()
const submittingReplica = values.through === 'leader' ? leader : (leader + 2) % 5
const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
const sentBefore = group.sentBytes
const startedAt = performance.now()

for (let number = 1; number <= changes; number += 1) {
  const content = makeSheet(random, Number(values.bytes))
  const digest = digestOf(content)
  const submittedAt = performance.now()
  const { result } = await group.replicas[submittingReplica]!.registry.submit({ number, digest, content, operator: 'bench' })
  if (result !== SubmitResult.Accepted) throw new Error(`sheet ${number}: ${result}`)
  histogram.recordValue(Math.round((performance.now() - submittedAt) * MICROSECONDS_PER_MILLISECOND))
}

const getPercentileMilliseconds = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
console.log(JSON.stringify({
  seed,
  changes,
  sheetBytes: Number(values.bytes),
  regionMilliseconds: Number(values.region),
  through: values.through,
  p50Milliseconds: getPercentileMilliseconds(50),
  p99Milliseconds: getPercentileMilliseconds(99),
  maximumMilliseconds: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
  leadershipsLost: group.counters.read(ReplicaCounter.LeadershipLost),
  appendsRetried: group.counters.read(ReplicaCounter.AppendRetried),
  submissionsRetried: group.counters.read(SheetCounter.Retried),
  snapshotsTaken: group.counters.read(ReplicaCounter.SnapshotTaken),
  sentBytesPerChange: Math.round((group.sentBytes - sentBefore) / changes),
  seconds: Math.round(performance.now() - startedAt) / 1_000
}))
await group.destroy()
