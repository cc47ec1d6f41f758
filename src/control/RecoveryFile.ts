import { join } from 'node:path'
import { encodeFrame } from '../agreement/storage/encodeFrame.js'
import type { FileOperations } from '../agreement/storage/FileOperations.js'
import { readRecord } from '../agreement/storage/readRecord.js'
import { writeFileAtomically } from '../agreement/storage/writeFileAtomically.js'
import type { CrashReport } from '../crashes/CrashReport.js'
import type { Log } from '../observe/Log.js'
import type { PlanSource } from '../plan/PlanSource.js'
import { RegistryOrigin } from '../registry/RegistryMessages.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'

const FILE_NAME = 'recovery'
/** Minimum interval between the starts of two writes: upstreams often change in groups, which are written together. */
const WRITE_INTERVAL_MILLISECONDS = 50
/** Delay after a failed write, so that a full disk is not written to in a loop. */
const RETRY_DELAY_MILLISECONDS = 1_000

/** Interval at which the file is written without a change, so that its age tells how long the host was down. */
const REFRESH_INTERVAL_MILLISECONDS = 20_000

/** State that a control host restores after a restart. */
export interface RecoveryRecord extends PlanSource {
  upstreams: UpstreamRecord[]
  /** Origin of the upstreams; files of earlier versions have none. */
  registry?: RegistryOrigin
  /** Requests under which upstreams ended; files of earlier versions have none. */
  crashes?: CrashReport
}

/** State that was read after a restart. */
export interface RestoredRecord extends RecoveryRecord {
  /** Time since it was written, by the wall clock; 0 for files of earlier versions, which do not tell it. */
  ageMilliseconds: number
}

/** Content of the file. */
interface StoredRecord extends RecoveryRecord {
  /** Unix time in milliseconds; files of earlier versions have none. */
  writtenAt?: number
}

/** Dependencies of {@link RecoveryFile}. */
export interface RecoveryFileOptions {
  files: FileOperations
  folder: string
  describe: () => RecoveryRecord
  log: Log
}

/**
 * Stores the state that entry hosts need right after all hosts were killed: the plan that this replica has applied, and
 * the upstreams that it knew, among them those whose departure it has confirmed. The file is optional: if it is missing or torn, the state is complete only once a leader is
 * elected and all upstreams have announced themselves, which takes seconds.
 */
export class RecoveryFile {
  readonly #options: RecoveryFileOptions
  readonly #path: string
  /** Number of changes so far, and of those that the file on disk holds. */
  #changeCount = 0
  #savedCount = 0
  #isWriting = false
  #registryOrigin: RegistryOrigin | undefined
  #isStopped = false
  #lastWriteStartedAt = Number.NEGATIVE_INFINITY
  #waiters: Array<{ changeCount: number, settle: (failure?: unknown) => void }> = []
  #refreshTimer: NodeJS.Timeout | undefined

  /** @param options - the state to store, and the folder for the file */
  constructor (options: RecoveryFileOptions) {
    this.#options = options
    this.#path = join(options.folder, FILE_NAME)
  }

  /** Origin of the upstreams that were read, undefined when the file was missing or unreadable. */
  get registryOrigin (): RegistryOrigin | undefined {
    return this.#registryOrigin
  }

  /** @returns the stored state, undefined when the file is missing or unreadable */
  async read (): Promise<RestoredRecord | undefined> {
    try {
      const stored = await readRecord<StoredRecord>(this.#options.files, this.#path)
      if (stored !== undefined) this.#registryOrigin = stored.registry === RegistryOrigin.Empty ? RegistryOrigin.Empty : RegistryOrigin.Restored
      return stored === undefined ? undefined : { ...stored, ageMilliseconds: Math.max(0, Date.now() - (stored.writtenAt ?? Date.now())) }
    } catch (error) {
      this.#options.log.warn('recovery-unreadable', { step: Step.Storage, peer: this.#path, cause: String(error) })
      return undefined
    }
  }

  /** Begins to write the file at intervals, until {@link stop}. */
  start (): void {
    this.#refreshTimer = setInterval(() => { this.scheduleWrite() }, REFRESH_INTERVAL_MILLISECONDS)
  }

  stop (): void {
    this.#isStopped = true
    clearInterval(this.#refreshTimer)
  }

  /** Schedules a write of the present state. A failed write is logged, and tried again. */
  scheduleWrite (): void {
    this.#changeCount += 1
    if (!this.#isWriting) this.#writeUntilSaved().catch((error: unknown) => { this.#logFailure(error) })
  }

  /**
   * Waits until all changes so far are durable.
   *
   * @throws the error of the next write, if that fails
   */
  async flush (): Promise<void> {
    if (this.#savedCount === this.#changeCount) return
    await new Promise<void>((resolve, reject) => {
      const settle = (failure?: unknown): void => { if (failure === undefined) resolve(); else reject(failure) }
      this.#waiters.push({ changeCount: this.#changeCount, settle })
    })
  }

  /** Writes until the file holds all changes. A host that stops makes no further attempt after a failed one. */
  async #writeUntilSaved (): Promise<void> {
    this.#isWriting = true
    while (this.#savedCount < this.#changeCount) {
      await pause(Math.max(0, this.#lastWriteStartedAt + WRITE_INTERVAL_MILLISECONDS - performance.now()))
      try {
        await this.#write()
      } catch (error) {
        this.#logFailure(error)
        this.#settleWaiters(Number.POSITIVE_INFINITY, error)
        if (this.#isStopped) break
        await pause(RETRY_DELAY_MILLISECONDS)
      }
    }
    this.#isWriting = false
  }

  #logFailure (error: unknown): void {
    this.#options.log.warn('recovery-not-written', { step: Step.Storage, peer: this.#path, cause: String(error) })
  }

  async #write (): Promise<void> {
    const { files, describe } = this.#options
    const changeCount = this.#changeCount
    this.#lastWriteStartedAt = performance.now()
    const stored: StoredRecord = { ...describe(), writtenAt: Date.now() }
    await writeFileAtomically(files, this.#path, encodeFrame(Buffer.from(JSON.stringify(stored))))
    this.#savedCount = changeCount
    this.#settleWaiters(changeCount)
  }

  /** Settles those that wait for changes up to a number of them. */
  #settleWaiters (changeCount: number, failure?: unknown): void {
    const settled = this.#waiters.filter((waiter) => waiter.changeCount <= changeCount)
    this.#waiters = this.#waiters.filter((waiter) => waiter.changeCount > changeCount)
    for (const { settle } of settled) settle(failure)
  }
}
