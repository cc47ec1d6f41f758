/** Readiness of an upstream for new work, as announced by itself. */
export enum UpstreamReadiness {
  Ready = 'ready',
  /** It finishes its work and accepts no more. */
  Draining = 'draining',
  /** It has left for good. */
  Gone = 'gone'
}

/** Last announced state of an upstream. */
export interface UpstreamRecord {
  /** Identifier of the upstream process, in most cases unique to one start. */
  id: string
  /** Time of that start in Unix milliseconds by the upstream's clock, since an identifier may be used again. */
  bornAt: number
  /** Rises with each announcement of the same start. */
  sequence: number
  service: string
  /** `ip:port` */
  address: string
  domain: string
  /** Number of requests that it runs at once. */
  slots: number
  readiness: UpstreamReadiness
  /** Remaining time of the cold phase when this record was received. */
  coldMilliseconds: number
}

/**
 * @param left - a record of an upstream
 * @param right - another record under the same identifier
 * @returns whether `left` is newer
 */
export function isNewer (left: UpstreamRecord, right: UpstreamRecord): boolean {
  if (left.bornAt !== right.bornAt) return left.bornAt > right.bornAt
  if (isGone(left) !== isGone(right)) return isGone(left)
  return left.sequence > right.sequence
}

/**
 * @param record - last record of an upstream
 * @returns whether the upstream has left for good
 */
export function isGone (record: UpstreamRecord): boolean {
  return record.readiness === UpstreamReadiness.Gone
}

/**
 * @param record - a record of an upstream
 * @returns whether the upstream accepts no more work, which is acknowledged to it and must outlive restarts
 */
export function isLeaving (record: UpstreamRecord): boolean {
  return record.readiness !== UpstreamReadiness.Ready
}

/**
 * @param record - a record of an upstream
 * @returns a name of this start of the upstream; identifiers may be used again after a restart
 */
export function getIncarnation ({ id, bornAt }: Pick<UpstreamRecord, 'id' | 'bornAt'>): string {
  return `${id}@${bornAt}`
}
