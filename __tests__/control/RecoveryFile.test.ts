import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { RecoveryFile, type RecoveryRecord } from '../../src/control/RecoveryFile.js'
import { RestoredPlans } from '../../src/plan/RestoredPlans.js'
import { RegistryOrigin } from '../../src/registry/RegistryMessages.js'
import { UpstreamTable } from '../../src/registry/UpstreamTable.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { createPlan } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const LOST_MILLISECONDS = 4_500

interface RecoveryFixture {
  files: MemoryFiles
  file: RecoveryFile
  warnings: string[]
}

function createFixture (files: MemoryFiles, describe: () => RecoveryRecord): RecoveryFixture {
  const warnings: string[] = []
  const log = { info: () => {}, warn: (event: string) => { warnings.push(event) }, error: () => {} }
  return { files, file: new RecoveryFile({ files, folder: '/data', describe, log }), warnings }
}

function createRecoveryRecord (version: number): RecoveryRecord {
  return { plan: createPlan(version), evacuated: ['gijon'], evacuationRevision: 7, upstreams: [createUpstreamRecord()] }
}

function getVersion ({ plan }: RestoredPlans): number | undefined {
  return plan?.version
}

test('a host that restarts restores the last written state, with changes in quick succession written together', async (context: TestContext) => {
  pauseClock(context)
  let version = 1
  const { files, file } = createFixture(new MemoryFiles(() => 0), () => createRecoveryRecord(version))
  file.scheduleWrite()
  version = 2
  file.scheduleWrite()
  await advance(context, 200)
  const restored = await createFixture(files, () => createRecoveryRecord(0)).file.read()
  assert.equal(restored?.plan?.version, 2)
  assert.deepEqual(restored?.upstreams, [createUpstreamRecord()])
})

// Guards against a host that lost its disk and counts as one that knows all departures once it was started again.
test('a registry that was written before it was complete is restored as an empty one', async (context: TestContext) => {
  pauseClock(context)
  const expected = [[RegistryOrigin.Empty, RegistryOrigin.Empty], [RegistryOrigin.Restored, RegistryOrigin.Restored], [RegistryOrigin.Merged, RegistryOrigin.Restored], [undefined, RegistryOrigin.Restored]] as const
  for (const [written, restored] of expected) {
    const { files, file } = createFixture(new MemoryFiles(() => 0), () => ({ ...createRecoveryRecord(1), registry: written }))
    file.scheduleWrite()
    await advance(context, 200)
    const { file: restarted } = createFixture(files, () => createRecoveryRecord(0))
    await restarted.read()
    assert.equal(restarted.registryOrigin, restored)
  }
  const { file: missing } = createFixture(new MemoryFiles(() => 0), () => createRecoveryRecord(0))
  await missing.read()
  assert.equal(missing.registryOrigin, undefined)
})

test('changes are durable once they are flushed, also after a write that failed', async (context: TestContext) => {
  pauseClock(context)
  let version = 1
  const { files, file, warnings } = createFixture(new MemoryFiles(() => 0), () => createRecoveryRecord(version))
  files.faultAtOperation = files.operationCount + 1
  file.scheduleWrite()
  const failed = assert.rejects(file.flush(), /ENOSPC/)
  await advance(context, 100)
  await failed
  assert.deepEqual(warnings, ['recovery-not-written'])
  files.faultAtOperation = Number.POSITIVE_INFINITY
  version = 2
  file.scheduleWrite()
  const flushed = file.flush()
  await advance(context, 1_500)
  await flushed
  const restored = await createFixture(files.createSurvivor(), () => createRecoveryRecord(0)).file.read()
  assert.equal(restored?.plan?.version, 2)
})

test('a missing or torn file restores nothing', async () => {
  const { files, file, warnings } = createFixture(new MemoryFiles(() => 0), () => createRecoveryRecord(1))
  assert.equal(await file.read(), undefined)
  const torn = await files.open('/data/recovery')
  await torn.append(Buffer.from('torn'))
  assert.equal(await file.read(), undefined)
  assert.deepEqual(warnings, ['recovery-unreadable'])
})

test('restored plans never take precedence over newer plans that are applied', () => {
  const applied = { plan: undefined as ReturnType<typeof createPlan> | undefined, evacuated: [] as string[], evacuationRevision: 0 }
  const plans = new RestoredPlans(applied)
  assert.equal(plans.plan, undefined)
  plans.restore(createRecoveryRecord(4))
  assert.equal(getVersion(plans), 4)
  assert.deepEqual(plans.evacuated, ['gijon'])
  applied.plan = createPlan(3)
  applied.evacuationRevision = 6
  assert.equal(getVersion(plans), 4)
  assert.equal(plans.evacuationRevision, 7)
  applied.plan = createPlan(5)
  applied.evacuationRevision = 8
  assert.equal(getVersion(plans), 5)
  assert.deepEqual(plans.evacuated, [])
})

test('a restored upstream that stays silent is lost within two of its periods; one that left stays gone', async (context: TestContext) => {
  pauseClock(context)
  const before = new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
  before.merge(createUpstreamRecord({ id: 'i-1', address: '127.0.0.9:1', coldMilliseconds: 2_000 }))
  before.merge(createUpstreamRecord({ id: 'i-2', address: '127.0.0.9:2' }))
  before.markGone('i-2')
  await advance(context, 500, 100)
  const after = new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
  after.restore(before.describe(), 0)
  assert.equal(after.get('i-1')!.coldUntil, performance.now() + 1_500)
  assert.equal(after.get('i-2')!.record.readiness, UpstreamReadiness.Gone)
  await advance(context, 2_900, 100)
  assert.deepEqual(after.sweep(), [])
  await advance(context, 200, 100)
  assert.deepEqual(after.sweep(), ['i-1'])
})

test('a host that was down for longer than a departure is remembered elsewhere brings no upstream back into use', async (context: TestContext) => {
  pauseClock(context)
  const before = new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
  before.merge(createUpstreamRecord({ id: 'i-1', address: '127.0.0.9:1' }))
  before.merge(createUpstreamRecord({ id: 'i-2', address: '127.0.0.9:2' }))
  before.markGone('i-2')
  const describe = (): RecoveryRecord => ({ ...createRecoveryRecord(1), upstreams: before.describe() })
  const { files, file } = createFixture(new MemoryFiles(() => 0), describe)
  file.scheduleWrite()
  await advance(context, 200)
  await advance(context, 600_000, 10_000)
  const restored = await createFixture(files, describe).file.read()
  const after = new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
  after.restore(restored!.upstreams, restored!.ageMilliseconds)
  assert.equal(after.get('i-1'), undefined)
  assert.equal(after.get('i-2')!.record.readiness, UpstreamReadiness.Gone)
  assert.equal(restored?.plan?.version, 1, 'the plan is committed, however old it is')
})

test('the file of a host that runs on without changes stays young enough for its upstreams', async (context: TestContext) => {
  pauseClock(context)
  const { files, file } = createFixture(new MemoryFiles(() => 0), () => createRecoveryRecord(1))
  file.start()
  await advance(context, 600_000, 1_000)
  file.stop()
  const restored = await createFixture(files, () => createRecoveryRecord(0)).file.read()
  const after = new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
  after.restore(restored!.upstreams, restored!.ageMilliseconds)
  assert.equal(after.get('i-1')!.record.readiness, UpstreamReadiness.Ready)
})

test('a restored upstream that announces itself changes nothing for followers', () => {
  const after = new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
  after.restore([createUpstreamRecord({ sequence: 5 })], 0)
  const { revision } = after
  assert.equal(after.merge(createUpstreamRecord({ sequence: 9 })), false)
  assert.equal(after.revision, revision)
})
