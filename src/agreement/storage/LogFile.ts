import { join } from 'node:path'
import type { LogEntry } from '../LogEntry.js'
import type { LogPosition } from '../LogPosition.js'
import { SerialQueue } from '../tasks/SerialQueue.js'
import { encodeFrame } from './encodeFrame.js'
import type { FileOperations } from './FileOperations.js'
import type { LogFrame } from './LogFrame.js'
import type { OpenFile } from './OpenFile.js'
import { ReplicaFile } from './ReplicaFile.js'
import { writeFileAtomically } from './writeFileAtomically.js'

/** The append-only log file. Entries that are appended while a sync runs are written together by the next write. */
export class LogFile {
  readonly #files: FileOperations
  readonly #path: string
  readonly #queue = new SerialQueue()
  #file: OpenFile | undefined
  /** Entries of the last queued write, undefined once it has started. */
  #pendingEntries: LogEntry[] | undefined
  #pendingWrite: Promise<void> = Promise.resolve()
  #bytes = 0
  #failure: unknown

  /**
   * @param files - file operations
   * @param folder - data folder of the replica
   */
  constructor (files: FileOperations, folder: string) {
    this.#files = files
    this.#path = join(folder, ReplicaFile.Log)
  }

  /** Length of the file in bytes. */
  get bytes (): number {
    return this.#bytes
  }

  /**
   * Makes entries durable. They replace all earlier entries from the first one's index on.
   *
   * @param entries - entries without gaps
   */
  append (entries: readonly LogEntry[]): Promise<void> {
    if (this.#pendingEntries !== undefined && this.#pendingEntries.at(-1)?.index === (entries[0]?.index ?? 0) - 1) {
      this.#pendingEntries.push(...entries)
      return this.#pendingWrite
    }
    const batch = [...entries]
    this.#pendingEntries = batch
    this.#pendingWrite = this.#runUnlessFailed(async () => {
      if (this.#pendingEntries === batch) this.#pendingEntries = undefined
      await this.#writeAndSync(batch)
    })
    return this.#pendingWrite
  }

  /**
   * Replaces the full file, after a preceding step has succeeded.
   *
   * @param base - position before the first entry
   * @param entries - entries of the new file
   * @param precedingStep - awaited before the file is replaced
   */
  replace (base: LogPosition, entries: readonly LogEntry[], precedingStep: Promise<void> = Promise.resolve()): Promise<void> {
    this.#pendingEntries = undefined
    const frame = encodeFrame(Buffer.from(JSON.stringify({ base, entries: [...entries] } satisfies LogFrame)))
    return this.#runUnlessFailed(async () => {
      await precedingStep
      await this.#file?.close()
      await writeFileAtomically(this.#files, this.#path, frame)
      this.#file = await this.#files.open(this.#path)
      this.#bytes = frame.length
    })
  }

  /** Waits until all writes queued so far are durable; fails if one of them or an earlier write failed. */
  async drain (): Promise<void> {
    await this.#runUnlessFailed(async () => {})
  }

  /** Closes the file after all writes queued so far. */
  async close (): Promise<void> {
    await this.#queue.run(async () => { await this.#file?.close() })
    this.#file = undefined
  }

  /** Runs an operation unless an earlier one failed: after a failed sync, a later successful sync does not prove durability. */
  #runUnlessFailed (operation: () => Promise<void>): Promise<void> {
    return this.#queue.run(async () => {
      if (this.#failure !== undefined) throw this.#failure
      try {
        await operation()
      } catch (error) {
        this.#failure = error
        throw error
      }
    })
  }

  async #writeAndSync (entries: LogEntry[]): Promise<void> {
    const frame = encodeFrame(Buffer.from(JSON.stringify({ entries } satisfies LogFrame)))
    await this.#file?.append(frame)
    await this.#file?.sync()
    this.#bytes += frame.length
  }
}
