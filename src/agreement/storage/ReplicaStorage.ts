import { join } from 'node:path'
import { ReplicaStorageError } from '../../errors/ReplicaStorageError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import type { LogEntry } from '../LogEntry.js'
import type { LogPosition } from '../LogPosition.js'
import { LogTail } from '../LogTail.js'
import type { Snapshot } from '../Snapshot.js'
import { SerialQueue } from '../tasks/SerialQueue.js'
import { encodeFrame } from './encodeFrame.js'
import type { FileOperations } from './FileOperations.js'
import { LogFile } from './LogFile.js'
import { readReplica } from './readReplica.js'
import { ReplicaFile } from './ReplicaFile.js'
import type { StoredReplica } from './StoredReplica.js'
import type { VoteRecord } from './VoteRecord.js'
import { writeFileAtomically } from './writeFileAtomically.js'

/**
 * Data folder of a replica. After the first failed write or sync nothing more is written,
 * since the state of the files is unknown until they are read again.
 */
export class ReplicaStorage {
  readonly #files: FileOperations
  readonly #folder: string
  readonly #onFailure: (error: ReplicaStorageError) => void
  readonly #logFile: LogFile
  readonly #voteQueue = new SerialQueue()
  readonly #snapshotQueue = new SerialQueue()
  #failure: ReplicaStorageError | undefined
  #newestVote: VoteRecord = { term: 0 }
  /** The queued write of the newest vote, undefined once it has started. */
  #pendingVoteWrite: Promise<void> | undefined

  /**
   * @param files - file operations
   * @param folder - path of the data folder
   * @param onFailure - called once, at the first failed write or sync
   */
  constructor (files: FileOperations, folder: string, onFailure: (error: ReplicaStorageError) => void) {
    this.#files = files
    this.#folder = folder
    this.#onFailure = onFailure
    this.#logFile = new LogFile(files, folder)
  }

  /** Length of the log file in bytes. */
  get logBytes (): number {
    return this.#logFile.bytes
  }

  /**
   * Reads the data folder; an empty folder gets a new identity.
   *
   * @param makeIdentity - creates a random identity
   * @returns identity, vote, snapshot and log in the folder
   * @throws {@link ReplicaStorageError} when a file is missing, corrupt or not writable
   */
  async open (makeIdentity: () => string): Promise<StoredReplica> {
    await this.#files.makeFolder(this.#folder)
    const stored = await readReplica(this.#files, this.#folder)
    if (stored === undefined) return this.#createIdentity(makeIdentity())
    // What was read may never have been synced, and a sync after a failed one proves nothing, so the log is written anew.
    if (stored.identity.joined) await this.replaceLog(stored.tail.base, stored.tail.entries)
    return stored
  }

  /**
   * Makes the first state of a group durable, and after it the fact that this replica has joined.
   *
   * @param identity - identity of this replica
   * @param snapshot - first state of the group
   * @param vote - term and vote to store
   */
  async joinGroup (identity: string, snapshot: Snapshot, vote: VoteRecord): Promise<void> {
    await this.saveSnapshot(encodeSnapshot(snapshot))
    await this.saveVote(vote)
    await this.replaceLog(snapshot.position, [])
    await this.#saveRecord(ReplicaFile.Identity, { identity, joined: true })
  }

  /** Makes term and vote durable; votes saved while an earlier write runs are combined into one write. */
  saveVote (vote: VoteRecord): Promise<void> {
    this.#newestVote = { ...vote }
    this.#pendingVoteWrite ??= this.#voteQueue.run(() => {
      this.#pendingVoteWrite = undefined
      return this.#saveRecord(ReplicaFile.Vote, this.#newestVote)
    })
    return this.#pendingVoteWrite
  }

  /** Makes entries durable; they replace all earlier entries from the first one's index on. */
  append (entries: readonly LogEntry[]): Promise<void> {
    return this.#runUnlessFailed(ReplicaFile.Log, () => this.#logFile.append(entries))
  }

  /** Replaces the log file, after a preceding step has succeeded. */
  replaceLog (base: LogPosition, entries: readonly LogEntry[], precedingStep?: Promise<void>): Promise<void> {
    return this.#runUnlessFailed(ReplicaFile.Log, () => this.#logFile.replace(base, entries, precedingStep))
  }

  /** Makes an encoded snapshot durable. */
  saveSnapshot (frame: Buffer): Promise<void> {
    const path = join(this.#folder, ReplicaFile.Snapshot)
    return this.#snapshotQueue.run(() => this.#runUnlessFailed(ReplicaFile.Snapshot, () => writeFileAtomically(this.#files, path, frame)))
  }

  /** @returns bytes of the snapshot file, undefined if there is none */
  async readSnapshot (): Promise<Buffer | undefined> {
    return this.#snapshotQueue.run(() => this.#files.read(join(this.#folder, ReplicaFile.Snapshot)))
  }

  /** Waits until all entries appended so far are durable. */
  drainLog (): Promise<void> {
    return this.#runUnlessFailed(ReplicaFile.Log, () => this.#logFile.drain())
  }

  /** Waits for all queued writes and closes the log file. */
  async close (): Promise<void> {
    await Promise.allSettled([this.#voteQueue.drain(), this.#snapshotQueue.drain(), this.#logFile.close()])
  }

  async #createIdentity (identity: string): Promise<StoredReplica> {
    const record = { identity, joined: false }
    await this.#saveRecord(ReplicaFile.Identity, record)
    return { identity: record, vote: { term: 0 }, tail: new LogTail(), tornBytes: 0 }
  }

  #saveRecord (file: ReplicaFile, record: object): Promise<void> {
    const frame = encodeFrame(Buffer.from(JSON.stringify(record)))
    return this.#runUnlessFailed(file, () => writeFileAtomically(this.#files, join(this.#folder, file), frame))
  }

  async #runUnlessFailed (file: ReplicaFile, operation: () => Promise<void>): Promise<void> {
    if (this.#failure !== undefined) throw this.#failure
    try {
      await operation()
    } catch (error) {
      throw this.#recordFailure(file, error)
    }
  }

  #recordFailure (file: ReplicaFile, cause: unknown): ReplicaStorageError {
    if (this.#failure !== undefined) return this.#failure
    const path = join(this.#folder, file)
    this.#failure = new ReplicaStorageError(errorTexts.replicaWriteFailed(path), path, cause)
    this.#onFailure(this.#failure)
    return this.#failure
  }
}

/**
 * @param snapshot - group, position, membership and state
 * @returns bytes of the snapshot file
 */
export function encodeSnapshot (snapshot: Snapshot): Buffer {
  return encodeFrame(Buffer.from(JSON.stringify(snapshot)))
}
