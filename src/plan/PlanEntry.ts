import type { RoutingPlan } from './RoutingPlan.js'

/** Kinds of entries in the replicated log of plans. */
export enum PlanEntryKind {
  /** A new plan. */
  Submit = 'submit',
  /** Stops new work for the upstreams of a failure domain. */
  Evacuate = 'evacuate',
  /** Allows new work for them again. */
  Return = 'return',
  /** Changes nothing; once it is committed, all earlier entries are known. */
  Barrier = 'barrier'
}

/** A plan as an operator submitted it. */
export interface PlanSubmission {
  plan: RoutingPlan
  /** Version that the plan is based on, 0 for the first plan. */
  baseVersion: number
  /** Digest of the document; the same document sent again has the same digest. */
  digest: string
  /** The document as it was sent, so that it can be read back unchanged. */
  document: string
}

/** An order to evacuate a failure domain, or to return it. */
export interface EvacuationEntry {
  kind: PlanEntryKind.Evacuate | PlanEntryKind.Return
  domain: string
  /** Revision of the evacuations on which the order is based; entries of earlier versions have none. */
  baseRevision?: number
}

/** One entry of the replicated log of plans. */
export type PlanEntry =
  | { kind: PlanEntryKind.Submit, submission: PlanSubmission }
  | EvacuationEntry
  | { kind: PlanEntryKind.Barrier }
