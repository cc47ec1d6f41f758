import { join } from 'node:path'
import { encodeFrame } from '../agreement/storage/encodeFrame.js'
import type { FileOperations } from '../agreement/storage/FileOperations.js'
import { readRecord } from '../agreement/storage/readRecord.js'
import { writeFileAtomically } from '../agreement/storage/writeFileAtomically.js'
import type { CrashReport } from '../crashes/CrashReport.js'
import type { Log } from '../observe/Log.js'
import type { PlanSource } from '../plan/PlanSource.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'

const FILE_NAME = 'recovery'
/** Delay before a write, so that changes within it are written together: upstreams often change in groups. */
const BATCH_DELAY_MILLISECONDS = 50

/** Interval at which the file is written without a change, so that its age tells how long the host was down. */
const REFRESH_INTERVAL_MILLISECONDS = 20_000

/** State that a control host restores after a restart. */
export interface RecoveryRecord extends PlanSource {
  upstreams: UpstreamRecord[]
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
 * the upstreams that it knew. The file is optional: if it is missing or torn, the state is complete only once a leader is
 * elected and all upstreams have announced themselves, which takes seconds.
 */
export class RecoveryFile {
  readonly #options: RecoveryFileOptions
  readonly #path: string
  #isWriteDue = false
  #isWriting = false
  #refreshTimer: NodeJS.Timeout | undefined

  /** @param options - the state to store, and the folder for the file */
  constructor (options: RecoveryFileOptions) {
    this.#options = options
    this.#path = join(options.folder, FILE_NAME)
  }

  /** @returns the stored state, undefined when the file is missing or unreadable */
  async read (): Promise<RestoredRecord | undefined> {
    try {
      const stored = await readRecord<StoredRecord>(this.#options.files, this.#path)
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
    clearInterval(this.#refreshTimer)
  }

  /** Schedules a write of the present state, unless one is scheduled. A failed write is only logged. */
  scheduleWrite (): void {
    this.#isWriteDue = true
    if (this.#isWriting) return
    this.#isWriting = true
    this.#write().catch((error: unknown) => {
      this.#options.log.warn('recovery-not-written', { step: Step.Storage, peer: this.#path, cause: String(error) })
    }).finally(() => { this.#isWriting = false })
  }

  async #write (): Promise<void> {
    while (this.#isWriteDue) {
      await pause(BATCH_DELAY_MILLISECONDS)
      this.#isWriteDue = false
      const { files, describe } = this.#options
      const stored: StoredRecord = { ...describe(), writtenAt: Date.now() }
      await writeFileAtomically(files, this.#path, encodeFrame(Buffer.from(JSON.stringify(stored))))
    }
  }
}
