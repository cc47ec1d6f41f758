import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import { PeerMethod } from '../types/PeerMethod.js'
import type { CrashReport } from './CrashReport.js'
import { CrashSharer, type ReportCrashesRequest } from './CrashSharer.js'
import { CrashTable } from './CrashTable.js'
import { logLearnedCrashes } from './logLearnedCrashes.js'
import { SuspectDesk } from './SuspectDesk.js'

/** Dependencies of {@link CrashExchange}. */
export interface CrashExchangeOptions {
  hostName: () => string
  /** @returns peer addresses of the other control hosts */
  listPeers: () => string[]
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** Waits until all changes so far are durable at this host. */
  persist: () => Promise<void>
  /** Called when something changed that entry hosts need to know. */
  onChange: () => void
  log: Log
}

/** A control host's part in the knowledge of requests under which upstreams ended: it collects, passes on, and gives permits. */
export class CrashExchange {
  readonly table = new CrashTable()
  readonly #options: CrashExchangeOptions
  readonly #sharer: CrashSharer

  /** @param options - the other control hosts, the transport and a callback */
  constructor (options: CrashExchangeOptions) {
    this.#options = options
    const { registerHandler } = options
    this.#sharer = new CrashSharer({ ...options, crashes: this.table })
    const desk = new SuspectDesk({ crashes: this.table, onChange: () => { this.#publish() } })
    registerHandler(PeerMethod.SuspectPermit, (request: Parameters<SuspectDesk['answer']>[0]) => desk.answer(request))
    registerHandler(PeerMethod.ReportCrashes, (request: ReportCrashesRequest) => this.#merge(request))
    registerHandler(PeerMethod.SaveCrashes, async (request: ReportCrashesRequest) => {
      const answer = this.#merge(request)
      await options.persist()
      return answer
    })
  }

  /** Begins to send again what other control hosts have not confirmed. */
  start (): void {
    this.#sharer.start()
  }

  stop (): void {
    this.#sharer.stop()
  }

  /** Merges what this host knew before a restart. */
  restore (report: CrashReport | undefined): void {
    if (report !== undefined) this.table.merge(report)
  }

  #merge ({ hostName, report }: ReportCrashesRequest): Record<string, never> {
    if (this.table.merge(report)) {
      logLearnedCrashes(this.#options.log, hostName, report)
      this.#publish()
    }
    return {}
  }

  #publish (): void {
    this.#options.onChange()
    this.#sharer.share()
  }
}
