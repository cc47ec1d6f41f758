/** Kinds of faults of a routing plan. */
export enum PlanProblem {
  UnknownService = 'unknown-service',
  DuplicateRoute = 'duplicate-route',
  NegativeWeight = 'negative-weight',
  NoWeight = 'no-weight',
  NoAttempts = 'no-attempts',
  BadPrefix = 'bad-prefix',
  BadTimeout = 'bad-timeout',
  DuplicateService = 'duplicate-service',
  DuplicateAccount = 'duplicate-account',
  /** Two accounts hold the same key. */
  SharedKey = 'shared-key',
  NegativeQuota = 'negative-quota'
}

/** One fault of a routing plan. */
export interface PlanFault {
  problem: PlanProblem
  /** Name of the route, service or client account with the fault. */
  name: string
  /** The faulty value. */
  value: string
}
