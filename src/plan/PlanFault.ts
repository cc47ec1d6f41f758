/** Kinds of faults of a routing plan. */
export enum PlanProblem {
  UnknownService = 'unknown-service',
  DuplicateRoute = 'duplicate-route',
  NegativeWeight = 'negative-weight',
  NoWeight = 'no-weight',
  NoAttempts = 'no-attempts',
  BadPrefix = 'bad-prefix',
  BadTimeout = 'bad-timeout',
  DuplicateService = 'duplicate-service'
}

/** One fault of a routing plan. */
export interface PlanFault {
  problem: PlanProblem
  /** Name of the route or service with the fault. */
  name: string
  /** The faulty value. */
  value: string
}
