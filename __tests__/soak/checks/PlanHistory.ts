import { listHandlings } from '../SoakPlan.js'
import type { Attempt, GuestObservation, PlanOrder, SoakRecord } from '../SoakRecord.js'

/** Time from an acknowledgement until a plan is in force, in milliseconds. */
export const APPLY_MILLISECONDS = 2_500
/** Time after a plan is in force within which upstreams of its new services have announced themselves. */
export const ANNOUNCE_MILLISECONDS = 4_000
/** Additional time while the control hosts are disturbed. */
export const OUTER_MILLISECONDS = 6_000
/** Time after a disturbance that still counts as disturbed. */
export const CONTACT_MILLISECONDS = 4_000
/** Time after the return of all hosts within which the newest plan is read again. */
export const RECOVERY_MILLISECONDS = 15_000
/** Time that a sample of a busy machine stands for. */
const SLOW_SAMPLE_MILLISECONDS = 500
/** Losses at the same time that the system is to bear. A host counts as lost until it has had the time to catch up. */
const TOLERATED_LOSSES = 2
const CATCH_UP_MILLISECONDS = 4_000

/** @returns when an order was first acknowledged, undefined when it never was */
export function findAcknowledgement (attempts: readonly Attempt[]): number | undefined {
  return attempts.find(({ status }) => status === 200)?.endedAt
}

/** @returns whether the first clear answer to an order refused it; a refusal after an acknowledgement is another matter */
export function isRefused ({ attempts }: PlanOrder): boolean {
  const status = attempts.find(({ status = 0 }) => status === 200 || isRefusal(status))?.status
  return status !== undefined && isRefusal(status)
}

/** @returns whether a status says that an order will never be carried out */
export function isRefusal (status: number): boolean {
  return status >= 400 && status < 500 && status !== 408 && status !== 429
}

/** Which plans may be in force, from the orders of a run. */
export class PlanHistory {
  readonly record: SoakRecord
  readonly #acknowledged: Array<{ version: number, at: number }>

  /** @param record - what was seen in a run */
  constructor (record: SoakRecord) {
    this.record = record
    this.#acknowledged = record.orders.flatMap((order) => {
      const at = findAcknowledgement(order.attempts)
      return at === undefined ? [] : [{ version: order.plan.version, at }]
    })
  }

  /** Time until which the newest plan must be read after the return of all hosts; later by the time in which the machine was too busy, at most twice as late. */
  get recoveryDeadline (): number {
    const { allBackAt, disturbances } = this.record
    const slow = disturbances.filter(({ kind, to }) => ['slow', 'starved'].includes(kind) && to > allBackAt)
    const slowMilliseconds = new Set(slow.map(({ from }) => from)).size * SLOW_SAMPLE_MILLISECONDS + slow.filter(({ kind }) => kind === 'slow').reduce((sum, { from, to }) => sum + to - from, 0)
    return allBackAt + RECOVERY_MILLISECONDS + Math.min(slowMilliseconds, RECOVERY_MILLISECONDS)
  }

  /** @returns newest version that was acknowledged before a time, 0 without one */
  findAcknowledgedVersion (before: number): number {
    return Math.max(0, ...this.#acknowledged.filter(({ at }) => at < before).map(({ version }) => version))
  }

  /** @returns whether an order may be in force: it is valid, was not refused, and no other one on the same version was acknowledged */
  isAllowed (order: PlanOrder): boolean {
    if (!order.isValid || isRefused(order)) return false
    return findAcknowledgement(order.attempts) !== undefined || !this.record.orders.some((other) => other !== order && other.plan.base === order.plan.base && findAcknowledgement(other.attempts) !== undefined)
  }

  /** @returns the versions, of allowed orders and 0 for none, whose plans handle a request as it was handled */
  listPossibleVersions (observation: GuestObservation): number[] {
    const fits = this.#listFitting(observation).filter((order) => order === undefined || this.isAllowed(order))
    return fits.map((order) => order?.plan.version ?? 0)
  }

  /** @returns the orders that may not be in force and handle a request as it was handled */
  listForbidden (observation: GuestObservation): PlanOrder[] {
    return this.#listFitting(observation).filter((order): order is PlanOrder => order !== undefined && !this.isAllowed(order))
  }

  /** @returns whether a control host was disturbed in a time or shortly before it */
  isCoreDisturbed (from: number, to: number): boolean {
    return this.record.disturbances.some((each) => !each.host.startsWith('entry') && each.from < to && each.to > from - CONTACT_MILLISECONDS)
  }

  /** @returns whether an entry host was disturbed at a time or shortly before it */
  isEntryDisturbed (entryHost: number, at: number): boolean {
    return this.record.disturbances.some((each) => [`entry-${entryHost}`, 'machine'].includes(each.host) && each.from < at && each.to > at - CONTACT_MILLISECONDS)
  }

  /** @returns whether more control hosts than tolerated were lost at once in a time */
  isOverrun (from: number, to: number): boolean {
    const losses = this.record.disturbances.filter((each) => each.host.startsWith('control') && each.kind !== 'start' && each.from < to && each.to + CATCH_UP_MILLISECONDS > from)
    return losses.some(({ from: at }) => new Set(losses.filter((each) => each.from <= at && each.to + CATCH_UP_MILLISECONDS > at).map(({ host }) => host)).size > TOLERATED_LOSSES)
  }

  /** @returns whether bounds in time hold at an entry host: it ran undisturbed, and so did the control hosts, for twice as long after more losses than tolerated */
  isInTouch (entryHost: number, at: number): boolean {
    return !this.isEntryDisturbed(entryHost, at) && !this.isCoreDisturbed(at, at) && !this.isOverrun(at - CONTACT_MILLISECONDS, at)
  }

  /** @returns newest version that must be in force at an entry host for a request sent at a time; 0 when none must be */
  findRequiredVersion (entryHost: number, sentAt: number): number {
    if (this.isEntryDisturbed(entryHost, sentAt)) return 0
    const bound = this.isInTouch(entryHost, sentAt) ? APPLY_MILLISECONDS : APPLY_MILLISECONDS + OUTER_MILLISECONDS
    const due = this.#acknowledged.filter(({ at }) => at + bound < sentAt && (bound === APPLY_MILLISECONDS || !this.isOverrun(at, sentAt)))
    return Math.max(0, ...due.map(({ version }) => version))
  }

  /** Orders that handle a request as it was handled, and undefined for no plan at all. */
  #listFitting (observation: GuestObservation): Array<PlanOrder | undefined> {
    const { path, handling, answeredAt } = observation
    const sent = this.record.orders.filter(({ attempts }) => (attempts[0]?.sentAt ?? Number.POSITIVE_INFINITY) <= answeredAt)
    return [undefined, ...sent].filter((order) => handling !== undefined && listHandlings(order?.plan, path).includes(handling))
  }
}
