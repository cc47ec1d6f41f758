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

/** Content of a data folder, and the state of its log file. */
export interface LoadedReplica extends StoredReplica {
  intactBytes: number
  /** Whether the log file does not continue the snapshot, so that the file must be replaced. */
  isLogDisconnected: boolean
}

/**
 * Reads a data folder without changing it.
 *
 * @param files - file operations
 * @param folder - path of the data folder
 * @returns its content, undefined when the folder holds no files of a replica
 * @throws {@link ReplicaStorageError} when a file is missing or corrupt
 */
export async function readReplica (files: FileOperations, folder: string): Promise<LoadedReplica | undefined> {
  const identity = await readRecord<IdentityRecord>(files, join(folder, ReplicaFile.Identity))
  if (identity === undefined) {
    await requireEmptyFolder(files, folder)
    return undefined
  }
  if (!identity.joined) return { identity, vote: { term: 0 }, tail: new LogTail(), intactBytes: 0, tornBytes: 0, isLogDisconnected: false }
  const snapshot = await requireRecord<Snapshot>(files, join(folder, ReplicaFile.Snapshot))
  const vote = await requireRecord<VoteRecord>(files, join(folder, ReplicaFile.Vote))
  const log = await requireLog(files, join(folder, ReplicaFile.Log))
  const isLogDisconnected = rebaseIfDisconnected(log.tail, snapshot, join(folder, ReplicaFile.Log))
  return { identity, vote, snapshot, isLogDisconnected, ...log }
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

function rebaseIfDisconnected (tail: LogTail, snapshot: Snapshot, path: string): boolean {
  if (tail.base.index > snapshot.position.index) throw new ReplicaStorageError(errorTexts.replicaFileCorrupt(path), path)
  const isDisconnected = tail.termAt(snapshot.position.index) !== snapshot.position.term
  if (isDisconnected) tail.rebase(snapshot.position)
  return isDisconnected
}
