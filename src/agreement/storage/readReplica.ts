import { join } from 'node:path'
import { ReplicaStorageError } from '../../errors/ReplicaStorageError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { LogTail } from '../LogTail.js'
import type { Snapshot } from '../Snapshot.js'
import type { FileOperations } from './FileOperations.js'
import type { IdentityRecord } from './IdentityRecord.js'
import { readLogFile, type LogFileContent } from './readLogFile.js'
import { readRecord } from './readRecord.js'
import { ReplicaFile } from './ReplicaFile.js'
import type { StoredReplica } from './StoredReplica.js'
import type { VoteRecord } from './VoteRecord.js'

/**
 * Reads a data folder without changing it.
 *
 * @param files - file operations
 * @param folder - path of the data folder
 * @returns its content, undefined when the folder holds no files of a replica
 * @throws {@link ReplicaStorageError} when a file is missing or corrupt
 */
export async function readReplica (files: FileOperations, folder: string): Promise<StoredReplica | undefined> {
  const identity = await readRecord<IdentityRecord>(files, join(folder, ReplicaFile.Identity))
  if (identity === undefined) {
    await requireEmptyFolder(files, folder)
    return undefined
  }
  if (!identity.joined) return { identity, vote: { term: 0 }, tail: new LogTail(), tornBytes: 0 }
  const snapshot = await requireRecord<Snapshot>(files, join(folder, ReplicaFile.Snapshot))
  const vote = await requireRecord<VoteRecord>(files, join(folder, ReplicaFile.Vote))
  const log = await requireLog(files, join(folder, ReplicaFile.Log))
  rebaseIfDisconnected(log.tail, snapshot, join(folder, ReplicaFile.Log))
  return { identity, vote, snapshot, ...log }
}

async function requireEmptyFolder (files: FileOperations, folder: string): Promise<void> {
  const names = new Set(await files.list(folder))
  const hasReplicaFile = [ReplicaFile.Vote, ReplicaFile.Snapshot, ReplicaFile.Log].some((name) => names.has(name))
  if (hasReplicaFile) throw new ReplicaStorageError(errorTexts.replicaIdentityMissing(), folder)
}

async function requireRecord<Content> (files: FileOperations, path: string): Promise<Content> {
  const record = await readRecord<Content>(files, path)
  if (record === undefined) throw new ReplicaStorageError(errorTexts.replicaFileMissing(path), path)
  return record
}

async function requireLog (files: FileOperations, path: string): Promise<LogFileContent> {
  const content = await files.read(path)
  if (content === undefined) throw new ReplicaStorageError(errorTexts.replicaFileMissing(path), path)
  return readLogFile(content, path)
}

/** Discards entries that do not continue the snapshot. */
function rebaseIfDisconnected (tail: LogTail, snapshot: Snapshot, path: string): void {
  if (tail.base.index > snapshot.position.index) throw new ReplicaStorageError(errorTexts.replicaFileCorrupt(path), path)
  if (tail.termAt(snapshot.position.index) !== snapshot.position.term) tail.rebase(snapshot.position)
}
