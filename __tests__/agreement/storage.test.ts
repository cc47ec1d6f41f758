import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { EntryKind } from '../../src/agreement/EntryKind.js'
import type { LogEntry } from '../../src/agreement/LogEntry.js'
import type { Snapshot } from '../../src/agreement/Snapshot.js'
import { encodeFrame, FRAME_HEADER_BYTES } from '../../src/agreement/storage/encodeFrame.js'
import { readFrames } from '../../src/agreement/storage/readFrames.js'
import { encodeSnapshot, ReplicaStorage } from '../../src/agreement/storage/ReplicaStorage.js'
import { ReplicaStorageError } from '../../src/errors/ReplicaStorageError.js'
import { Fault, MemoryFiles } from './support/MemoryFiles.js'
import { seededRandom } from './support/SheetCluster.js'

const FOLDER = '/data'
const SEED = 20_261_204
const firstSnapshot: Snapshot = { group: 'group', position: { index: 0, term: 0 }, configuration: { members: [], retired: [] } }

function createEntry (index: number, term: number, size: number): LogEntry {
  return { index, term, kind: EntryKind.Value, value: 'x'.repeat(size) }
}

async function openStorage (files: MemoryFiles): Promise<{ storage: ReplicaStorage, stored: Awaited<ReturnType<ReplicaStorage['open']>> }> {
  const storage = new ReplicaStorage(files, FOLDER, () => {})
  return { storage, stored: await storage.open(() => 'replica') }
}

async function openJoinedStorage (random: () => number): Promise<{ storage: ReplicaStorage, files: MemoryFiles }> {
  const files = new MemoryFiles(random)
  const { storage } = await openStorage(files)
  await storage.joinGroup('replica', firstSnapshot, { term: 0 })
  return { storage, files }
}

/** Content of a replica's folder, without the entries up to the snapshot. */
interface FolderState { base: number, entries: LogEntry[], term: number }

/** The states that a replica may find after a restart: the last confirmed one, or a later one whose write had started. */
class ExpectedStates {
  possible: FolderState[] = [{ base: 0, entries: [], term: 0 }]

  get newest (): FolderState {
    return this.possible.at(-1) as FolderState
  }

  beginChange (change: Partial<FolderState>): void {
    this.possible.push({ ...this.newest, ...change })
  }

  confirmNewest (): void {
    this.possible = [this.newest]
  }

  assertPossible (found: FolderState): void {
    const expected = this.possible.map((state) => JSON.stringify(state))
    assert.ok(expected.includes(JSON.stringify(found)), `found ${JSON.stringify(found)}, possible ${expected.join(' or ')}`)
    this.possible = [found]
  }
}

type Change =
  | { kind: 'append', back: number, sizes: number[] }
  | { kind: 'vote' }
  | { kind: 'compact' }
  | { kind: 'install', ahead: number, sizes: number[] }

function lastIndex ({ base, entries }: FolderState): number {
  return entries.at(-1)?.index ?? base
}

function beginAppend (storage: ReplicaStorage, expected: ExpectedStates, start: number, sizes: number[]): Promise<void> {
  const { entries, term } = expected.newest
  const added = sizes.map((size, offset) => createEntry(start + offset, term, size))
  expected.beginChange({ entries: [...entries.filter(({ index }) => index < start), ...added] })
  return storage.append(added)
}

/** Installs a snapshot and appends entries after it, as a follower does. */
function beginInstall (storage: ReplicaStorage, expected: ExpectedStates, ahead: number, sizes: number[]): Promise<unknown> {
  const { term } = expected.newest
  const index = lastIndex(expected.newest) - 2 + ahead
  if (index <= expected.newest.base) return Promise.resolve()
  expected.beginChange({ base: index, entries: [] })
  const position = { index, term: term + 1_000 }
  const saved = storage.saveSnapshot(encodeSnapshot({ ...firstSnapshot, position }))
  saved.catch(() => {})
  const replaced = storage.replaceLog(position, [], saved)
  return Promise.all([replaced, beginAppend(storage, expected, index + 1, sizes)])
}

async function performChange (storage: ReplicaStorage, expected: ExpectedStates, change: Change): Promise<void> {
  const { base, entries, term } = expected.newest
  const last = lastIndex(expected.newest)
  if (change.kind === 'append') await beginAppend(storage, expected, Math.max(base + 1, last + 1 - change.back), change.sizes)
  if (change.kind === 'install') await beginInstall(storage, expected, change.ahead, change.sizes)
  if (change.kind === 'vote') {
    expected.beginChange({ term: term + 1 })
    await storage.saveVote({ term: term + 1, votedFor: 'other' })
  }
  if (change.kind === 'compact' && last > base) {
    expected.beginChange({ base: last, entries: [] })
    const position = { index: last, term: entries.at(-1)?.term ?? 0 }
    await storage.saveSnapshot(encodeSnapshot({ ...firstSnapshot, position }))
    await storage.replaceLog(position, [])
  }
  expected.confirmNewest()
}

const sizes = fc.array(fc.integer({ min: 1, max: 1_500 }), { minLength: 1, maxLength: 4 })
const changes: fc.Arbitrary<Change> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('append' as const), back: fc.nat(3), sizes }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('vote' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('compact' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('install' as const), ahead: fc.nat(5), sizes }) }
)

/** Performs changes until the process crashes during an operation; returns whether it crashed. */
async function runUntilCrash (storage: ReplicaStorage, files: MemoryFiles, expected: ExpectedStates, list: Change[], faultAt: number): Promise<boolean> {
  files.fault = Fault.Crash
  files.faultAtOperation = files.operationCount + faultAt
  try {
    for (const change of list) await performChange(storage, expected, change)
    return false
  } catch (error) {
    assert.ok(error instanceof ReplicaStorageError)
    return files.hasCrashed
  }
}

async function reopen (files: MemoryFiles, expected: ExpectedStates): Promise<{ storage: ReplicaStorage, files: MemoryFiles }> {
  const survivor = files.createSurvivor()
  const { storage, stored } = await openStorage(survivor)
  const base = stored.snapshot?.position.index ?? 0
  expected.assertPossible({ base, entries: stored.tail.entries.filter(({ index }) => index > base), term: stored.vote.term })
  return { storage, files: survivor }
}

test('a crash at any file operation loses nothing that was confirmed, and the replica opens again', async () => {
  await fc.assert(fc.asyncProperty(fc.array(changes, { minLength: 1, maxLength: 8 }), fc.integer(), async (list, seed) => {
    for (let faultAt = 1, ended = true; ended; faultAt += 1) {
      const { storage, files } = await openJoinedStorage(seededRandom(seed + faultAt))
      const expected = new ExpectedStates()
      ended = await runUntilCrash(storage, files, expected, list, faultAt)
      await reopen(files, expected)
    }
  }), { seed: SEED, numRuns: 80 })
})

test('three crashes in a row lose nothing that was confirmed', async () => {
  const faults = fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 3, maxLength: 3 })
  await fc.assert(fc.asyncProperty(fc.array(changes, { minLength: 2, maxLength: 6 }), fc.integer(), faults, async (list, seed, [...faultsAt]) => {
    let opened = await openJoinedStorage(seededRandom(seed))
    const expected = new ExpectedStates()
    for (const faultAt of faultsAt) {
      await runUntilCrash(opened.storage, opened.files, expected, list, faultAt)
      opened = await reopen(opened.files, expected)
    }
  }), { seed: SEED, numRuns: 400 })
})

// Guards against counting entries as durable because a restarted process could read them, though they were never synced.
test('entries that a killed process had written but not synced are durable once the next process has opened them', async () => {
  const { storage, files } = await openJoinedStorage(() => 0)
  files.fault = Fault.Crash
  files.faultAtOperation = files.operationCount + 2
  await assert.rejects(storage.append([createEntry(1, 1, 10)]), ReplicaStorageError)
  const restarted = files.restartProcess()
  const { stored } = await openStorage(restarted)
  assert.equal(stored.tail.last.index, 1)
  const afterPowerLoss = await openStorage(restarted.createSurvivor())
  assert.equal(afterPowerLoss.stored.tail.last.index, 1)
})

test('after one failed write or sync nothing more is confirmed, even if the disk works again', async () => {
  for (let faultAt = 1; faultAt <= 16; faultAt += 1) {
    const { storage, files } = await openJoinedStorage(seededRandom(faultAt))
    files.fault = Fault.ErrorOnce
    files.faultAtOperation = files.operationCount + faultAt
    const writes = [
      storage.append([createEntry(1, 1, 10)]),
      storage.append([createEntry(1, 2, 10)]),
      storage.append([createEntry(1, 3, 10)]),
      storage.replaceLog(firstSnapshot.position, [createEntry(1, 3, 10)]),
      storage.append([createEntry(2, 3, 10)])
    ]
    const confirmed = (await Promise.allSettled(writes)).map(({ status }) => status === 'fulfilled')
    if (files.faultAtOperation !== Number.POSITIVE_INFINITY) continue
    assert.deepEqual(confirmed, confirmed.map((_, index) => index < confirmed.indexOf(false)))
    await assert.rejects(storage.append([createEntry(3, 2, 10)]), ReplicaStorageError)
    await assert.rejects(storage.saveVote({ term: 2 }), ReplicaStorageError)
    await assert.rejects(storage.drainLog(), ReplicaStorageError)
  }
})

const damages: Array<{ name: string, file: string, damage: (content: Buffer) => Buffer, text: RegExp }> = [
  { name: 'a changed byte in the middle of the log', file: 'log', damage: (content) => flipBit(content, Math.floor(content.length / 2)), text: /log is corrupt/ },
  { name: 'a changed byte in the last entry', file: 'log', damage: (content) => flipBit(content, content.length - 3), text: /log is corrupt/ },
  { name: 'a changed length in the middle of the log', file: 'log', damage: (content) => flipBit(content, content.indexOf('HRF1', 10) + 5), text: /log is corrupt/ },
  { name: 'an emptied log', file: 'log', damage: () => Buffer.alloc(0), text: /log is corrupt/ },
  { name: 'a changed byte in the vote file', file: 'vote', damage: (content) => flipBit(content, FRAME_HEADER_BYTES + 3), text: /vote is corrupt/ },
  { name: 'a changed byte in the snapshot', file: 'snapshot', damage: (content) => flipBit(content, FRAME_HEADER_BYTES + 3), text: /snapshot is corrupt/ },
  { name: 'a changed byte in the identity', file: 'identity', damage: (content) => flipBit(content, FRAME_HEADER_BYTES + 3), text: /identity is corrupt/ }
]

function flipBit (content: Buffer, offset: number): Buffer {
  content[offset] = (content[offset] ?? 0) ^ 0x10
  return content
}

for (const { name, file, damage, text } of damages) {
  test(`${name} keeps the replica from opening, with an error that names the file`, async () => {
    const { storage, files } = await openJoinedStorage(seededRandom(1))
    for (let index = 1; index <= 5; index += 1) await storage.append([createEntry(index, 1, 300)])
    files.damage(`${FOLDER}/${file}`, damage)
    await assert.rejects(openStorage(files), (error) => error instanceof ReplicaStorageError && text.test(error.message))
  })
}

for (const file of ['vote', 'log', 'snapshot', 'identity']) {
  test(`a missing ${file} file of a joined replica keeps it from opening`, async () => {
    const { files } = await openJoinedStorage(seededRandom(1))
    await files.remove(`${FOLDER}/${file}`)
    await assert.rejects(openStorage(files), ReplicaStorageError)
  })
}

test('a torn last write of any length is detected as torn, and any other damage as corruption', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 900 }), { minLength: 1, maxLength: 5 }), fc.nat(), (sizes, cut) => {
    const frames = sizes.map((size, index) => encodeFrame(Buffer.from(String(index).repeat(size))))
    const fullContent = Buffer.concat(frames)
    const last = frames.at(-1)?.length ?? 0
    const torn = readFrames(fullContent.subarray(0, fullContent.length - 1 - cut % last))
    assert.deepEqual([torn.payloads.length, torn.isCorrupt], [sizes.length - 1, false])
    const damaged = readFrames(flipBit(Buffer.from(fullContent), cut % fullContent.length))
    assert.equal(damaged.isCorrupt, true)
  }), { seed: SEED, numRuns: 500 })
})
