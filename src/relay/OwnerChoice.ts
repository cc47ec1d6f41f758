import type { AnswerReport } from '../steering/PoolReport.js'
import type { HostIdentity } from '../types/HostIdentity.js'

/** The owner chosen for a request. */
export interface OwnerChoice {
  host: HostIdentity
  /** Whether the request may wait there for a slot; false while the pool is believed to have free slots. */
  mayWait: boolean
  /** To be called once with the owner's report on its pool, undefined when there is none. */
  settle: (report: AnswerReport | undefined) => void
}

/** A request for which an owner is chosen, and the results of its previous attempts. */
export interface ChoiceContext {
  service: string
  /** Place of the guest, undefined when its address is in no block. */
  guestPlace: string | undefined
  /** Names of hosts that had no free slot at once, although they were believed to have one. */
  full: ReadonlySet<string>
  /** Names of hosts that cannot take the request at all. */
  excluded: ReadonlySet<string>
  /** Returns numbers from 0 (inclusive) to 1 (exclusive) for the random parts of the choice; the host's own generator when undefined. */
  random?: (() => number) | undefined
}

/** Chooses the owner for the next attempt of a request; undefined when no pool is left. */
export type ChooseOwner = (context: ChoiceContext) => OwnerChoice | undefined
