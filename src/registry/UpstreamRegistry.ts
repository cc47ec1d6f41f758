import type { Log } from '../observe/Log.js'
import type { IsCallerWaiting } from '../types/IsCallerWaiting.js'
import { Step } from '../types/Step.js'
import { HeldAnnouncements } from './HeldAnnouncements.js'
import type { RegistrySharer } from './RegistrySharer.js'
import { UpstreamReadiness, type UpstreamRecord } from './UpstreamRecord.js'
import type { UpstreamTable } from './UpstreamTable.js'

/** Answer of a control host to an announcement of an upstream. */
export enum AnnouncementResult {
  Accepted = 'accepted',
  /** No known plan has such a service; the announcement counts as soon as one has it. */
  UnknownService = 'unknown-service',
  /** Too few control hosts hold it; sending it again, to any of them, is safe. */
  NotHeld = 'not-held'
}

/** Dependencies of {@link UpstreamRegistry}. */
export interface UpstreamRegistryOptions {
  upstreams: UpstreamTable
  sharer: RegistrySharer
  /** Whether the plan has a service; also true while there is no plan. */
  isKnownService: (service: string) => boolean
  onChange: () => void
  log: Log
}

/** Accepts announcements of upstreams. A drain or a departure is acknowledged only when a majority of the control hosts holds it. */
export class UpstreamRegistry {
  readonly #options: UpstreamRegistryOptions
  readonly #held: HeldAnnouncements

  /** @param options - the table, its sharing with the other control hosts, and callbacks */
  constructor (options: UpstreamRegistryOptions) {
    this.#options = options
    this.#held = new HeldAnnouncements(options.upstreams.lostMilliseconds)
  }

  /**
   * Merges the state that an upstream announces, and shares it with the other control hosts. If the service is unknown, the
   * announcement is held: the plan may get the service, or this host may be behind. The upstream is refused all the same, so
   * that it calls another host.
   */
  async announce (record: UpstreamRecord): Promise<AnnouncementResult> {
    const { upstreams, sharer, isKnownService } = this.#options
    if (!isKnownService(record.service) && !this.#isKnownStart(record)) {
      this.#held.hold(record)
      return this.#refuseUnknownService(record)
    }
    const hasChanged = upstreams.merge(record)
    if (hasChanged) this.#publishChange(record)
    if (record.readiness === UpstreamReadiness.Draining) return await this.#confirmWithMajority(record)
    if (hasChanged) sharer.shareChange(record)
    else sharer.shareRenewal(record)
    return AnnouncementResult.Accepted
  }

  /** Merges and shares the held announcements whose service is known by now. Called after each change of the known plan. */
  acceptHeld (): void {
    const { upstreams, sharer, isKnownService } = this.#options
    for (const { record, ageMilliseconds } of this.#held.take(isKnownService)) {
      if (!upstreams.merge(record, ageMilliseconds)) continue
      this.#publishChange(record)
      sharer.shareChange({ ...record, coldMilliseconds: Math.max(0, record.coldMilliseconds - ageMilliseconds) })
    }
  }

  /**
   * Records that an upstream leaves for good, and shares it with the other control hosts.
   *
   * @param id - identifier of the upstream
   * @param bornAt - time of its start in Unix milliseconds; if undefined, that of the known record
   * @param isCallerWaiting - whether the caller still waits for the answer; without a start time, a call whose caller has left
   *   may concern an earlier start of the upstream
   */
  async remove (id: string, bornAt: number | undefined, isCallerWaiting: IsCallerWaiting = async () => true): Promise<AnnouncementResult> {
    const { upstreams } = this.#options
    const knownRecord = upstreams.get(id)?.record
    if (bornAt === undefined && !await isCallerWaiting()) return AnnouncementResult.NotHeld
    const startedAt = bornAt ?? knownRecord?.bornAt
    if (startedAt === undefined) return AnnouncementResult.NotHeld
    const record = { ...knownRecord ?? createGoneRecord(id), bornAt: startedAt, readiness: UpstreamReadiness.Gone }
    if (upstreams.merge(record)) this.#publishChange(record)
    return await this.#confirmWithMajority(record)
  }

  /** @returns whether the upstream was accepted under this service since its start; the service may have been removed from the plan since */
  #isKnownStart ({ id, bornAt, service }: UpstreamRecord): boolean {
    const known = this.#options.upstreams.get(id)?.record
    return known !== undefined && known.bornAt === bornAt && known.service === service
  }

  #refuseUnknownService ({ id, address, service }: UpstreamRecord): AnnouncementResult {
    this.#options.log.warn('announcement-refused', { step: Step.Announce, peer: address, upstream: id, service, reason: AnnouncementResult.UnknownService })
    return AnnouncementResult.UnknownService
  }

  async #confirmWithMajority (record: UpstreamRecord): Promise<AnnouncementResult> {
    const isConfirmed = await this.#options.sharer.shareWithMajority(record)
    if (isConfirmed) return AnnouncementResult.Accepted
    this.#options.log.warn('upstream-change-not-held', { step: Step.Registry, peer: record.address, upstream: record.id, readiness: record.readiness })
    return AnnouncementResult.NotHeld
  }

  #publishChange ({ id, address, service, readiness, sequence, bornAt, coldMilliseconds }: UpstreamRecord): void {
    this.#options.onChange()
    this.#options.log.info('upstream-changed', { step: Step.Registry, peer: address, upstream: id, service, readiness, sequence, born: bornAt, cold: coldMilliseconds })
  }
}

function createGoneRecord (id: string): UpstreamRecord {
  return { id, bornAt: 0, sequence: 0, service: '', address: '', domain: '', slots: 0, readiness: UpstreamReadiness.Gone, coldMilliseconds: 0 }
}
