import { SuspectPermits } from '../relay/SuspectPermits.js'
import type { CrashRecord } from './CrashReport.js'
import type { CrashTable } from './CrashTable.js'

/** Time after a loss in which copies that are in flight at other hosts end, are noticed and reported. */
const SETTLE_MILLISECONDS = 250

/** Asks a control host for the permit to run a suspect, or returns it. */
export interface SuspectPermitRequest {
  /** What the caller knows of the request. */
  record: CrashRecord
  /** Identifies the run. */
  holder: string
  /** Time after which the permit expires, 0 to return it. */
  milliseconds: number
}

/** Answer to a {@link SuspectPermitRequest}. */
export interface SuspectPermitReply {
  isGranted: boolean
  /** What the control host knows of the request. */
  record: CrashRecord
}

/** Dependencies of {@link SuspectDesk}. */
export interface SuspectDeskOptions {
  crashes: CrashTable
  /** Called when a caller knew of losses that were unknown here. */
  onChange: () => void
}

/** Lets one entry host at a time run a request under which an upstream ended, so that each further loss is known before the next run. */
export class SuspectDesk {
  readonly #options: SuspectDeskOptions
  readonly #permits = new SuspectPermits()

  /** @param options - the crash table and a callback */
  constructor (options: SuspectDeskOptions) {
    this.#options = options
  }

  /**
   * Grants a permit, or takes it back.
   *
   * @param request - what an entry host knows of the suspect, and how long its run may take
   * @returns whether the run may begin, and what is known here
   */
  answer ({ record, holder, milliseconds }: SuspectPermitRequest): SuspectPermitReply {
    const { crashes, onChange } = this.#options
    const { fingerprint } = record
    if (crashes.merge({ requests: [record], unreachableUpstreams: [] })) onChange()
    if (milliseconds === 0) this.#permits.release(fingerprint, holder)
    const isGranted = milliseconds > 0 && this.#mayRun(fingerprint) && this.#permits.tryTake(fingerprint, holder, milliseconds)
    return { isGranted, record: crashes.describe(fingerprint) }
  }

  #mayRun (fingerprint: string): boolean {
    const { crashes } = this.#options
    return !crashes.isPoison(fingerprint) && crashes.getLossAge(fingerprint) >= SETTLE_MILLISECONDS * crashes.countLosses(fingerprint)
  }
}
