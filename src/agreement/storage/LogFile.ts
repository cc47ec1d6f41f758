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

/** The append-only log file. Entries that wait while a sync runs are written together by the next. */
export class LogFile {
  readonly #files: FileOperations
  readonly #path: string
  readonly #queue = new SerialQueue()
  #file: OpenFile | undefined
  /** Entries of the last write that was added, while it has not begun. */
  #pendingEntries: LogEntry[] | undefined
  #pendingWrite: Promise<void> = Promise.resolve()
  #bytes = 0
  #failure: unknown

  /**
   * @param files - file operations
   * @param folder - the data folder
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
   * Opens an existing file and cuts off what an interrupted write left behind.
   *
   * @param intactBytes - length of the intact part
   * @param tornBytes - bytes after it
   */
  async open (intactBytes: number, tornBytes: number): Promise<void> {
    this.#file = await this.#files.open(this.#path)
    this.#bytes = intactBytes
    if (tornBytes === 0) return
    await this.#file.truncate(intactBytes)
    await this.#file.sync()
  }

  /**
   * Makes entries durable. They take the place of all earlier ones at and after the first one's position.
   *
   * @param entries - without gaps
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
   * Replaces the whole file, after an earlier step.
   *
   * @param base - position before the first entry
   * @param entries - the entries
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

  /** Waits until everything added so far is durable; fails if an earlier write did. */
  async drain (): Promise<void> {
    await this.#runUnlessFailed(async () => {})
  }

  /** Closes the file after the writes added so far. */
  async close (): Promise<void> {
    await this.#queue.run(async () => { await this.#file?.close() })
    this.#file = undefined
  }

  /** Runs an operation unless an earlier one failed: after a failed sync, a later success would prove nothing. */
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
