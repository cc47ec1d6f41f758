import type { RoutingPlan } from './RoutingPlan.js'

/** Kinds of values in the log of plans. */
export enum PlanEntryKind {
  /** A new plan. */
  Submit = 'submit',
  /** No new work for the upstreams of a failure domain. */
  Evacuate = 'evacuate',
  /** The end of that. */
  Return = 'return',
  /** Changes nothing; committed, it proves that all earlier entries are known. */
  Barrier = 'barrier'
}

/** A plan as an operator submitted it. */
export interface PlanSubmission {
  plan: RoutingPlan
  /** Version that it builds on, 0 for the first. */
  baseVersion: number
  /** Digest of the document; the same document sent again has the same. */
  digest: string
  /** The document as it was sent, for reading it back. */
  document: string
}

/** One value of the log of plans. */
export type PlanEntry =
  | { kind: PlanEntryKind.Submit, submission: PlanSubmission }
  | { kind: PlanEntryKind.Evacuate | PlanEntryKind.Return, domain: string }
  | { kind: PlanEntryKind.Barrier }
