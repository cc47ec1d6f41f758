/** Kinds of findings in a routing plan. */
export enum FindingKind {
  /** Control hosts reject the plan for it. */
  Error = 'error',
  /** An entry that no request can ever match, or that takes part in nothing. */
  NeverMatches = 'never-matches',
  /** Limits that cannot all take effect. */
  Contradiction = 'contradiction',
  /** A difference from the plan in force. */
  Difference = 'difference'
}

/** One finding of the inspection of a routing plan. */
export interface PlanFinding {
  kind: FindingKind
  /** The entry concerned, for example `route lookups`. */
  entry: string
  /** What was found, and what it does to requests. */
  message: string
}

/** One rule of the inspection. */
export type PlanRule<Input> = (input: Input) => PlanFinding[]
