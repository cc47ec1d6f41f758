import { join } from 'node:path'
import { encodeFrame } from '../agreement/storage/encodeFrame.js'
import type { FileOperations } from '../agreement/storage/FileOperations.js'
import { readRecord } from '../agreement/storage/readRecord.js'
import { writeFileAtomically } from '../agreement/storage/writeFileAtomically.js'
import type { Log } from '../observe/Log.js'
import type { PlanSource } from '../plan/PlanSource.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'

const FILE_NAME = 'recovery'
/** Changes within this time are written together: upstreams often change in groups. */
const BATCH_DELAY_MILLISECONDS = 50

/** What a control host recalls after a restart. */
export interface RecoveryRecord extends PlanSource {
  upstreams: UpstreamRecord[]
}

/** What a recovery file works with. */
export interface RecoveryFileOptions {
  files: FileOperations
  folder: string
  describe: () => RecoveryRecord
  log: Log
}

/**
 * Keeps what entry hosts need right after a kill of all hosts: the plan that this replica has applied, and the upstreams
 * it knew. Nothing depends on it; a file that is missing or torn costs the seconds until a leader is elected and all
 * upstreams have announced themselves.
 */
export class RecoveryFile {
  readonly #options: RecoveryFileOptions
  readonly #path: string
  #isWriteDue = false
  #isWriting = false

  /** @param options - what is kept, and where */
  constructor (options: RecoveryFileOptions) {
    this.#options = options
    this.#path = join(options.folder, FILE_NAME)
  }

  /** @returns what the host recalls, undefined when there is nothing to read */
  async read (): Promise<RecoveryRecord | undefined> {
    try {
      return await readRecord<RecoveryRecord>(this.#options.files, this.#path)
    } catch (error) {
      this.#options.log.warn('recovery-unreadable', { step: Step.Storage, peer: this.#path, cause: String(error) })
      return undefined
    }
  }

  /** Writes the present state soon, if it is not about to be written. */
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
      await writeFileAtomically(files, this.#path, encodeFrame(Buffer.from(JSON.stringify(describe()))))
    }
  }
}
