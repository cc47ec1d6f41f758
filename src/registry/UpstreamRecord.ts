/** What an upstream says of its readiness for new work. */
export enum UpstreamReadiness {
  Ready = 'ready',
  /** It finishes its work and takes no more. */
  Draining = 'draining',
  /** It has said goodbye. */
  Gone = 'gone'
}

/** What an upstream last said of itself. */
export interface UpstreamRecord {
  /** Identifier of one start of an upstream, mostly. */
  id: string
  /** When that start was, in Unix milliseconds by the upstream's clock: an identifier may be used again. */
  bornAt: number
  /** Rises with each announcement of one start. */
  sequence: number
  service: string
  /** `ip:port` */
  address: string
  domain: string
  /** Requests that it runs at once. */
  slots: number
  readiness: UpstreamReadiness
  /** How much longer it stays cold, as of when this record was received. */
  coldMilliseconds: number
}

/**
 * @param left - a record of an upstream
 * @param right - another record under the same identifier
 * @returns whether the first is newer
 */
export function isNewer (left: UpstreamRecord, right: UpstreamRecord): boolean {
  if (left.bornAt !== right.bornAt) return left.bornAt > right.bornAt
  if (isGone(left) !== isGone(right)) return isGone(left)
  return left.sequence > right.sequence
}

/**
 * @param record - a record
 * @returns whether the upstream has said goodbye
 */
export function isGone (record: UpstreamRecord): boolean {
  return record.readiness === UpstreamReadiness.Gone
}
