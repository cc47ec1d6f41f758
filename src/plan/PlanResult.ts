/** Result of an order on plans or evacuations. */
export enum PlanResult {
  /** The plan is in force, or was in force before a newer one. */
  Accepted = 'accepted',
  /** What is in force is not what the order is based on. */
  OtherBase = 'other-base',
  /** The version of the plan is not above the one in force. */
  OldVersion = 'old-version',
  /** The plan has faults. */
  Invalid = 'invalid',
  /** The caller left before the order was submitted, so it was not. */
  Abandoned = 'abandoned',
  /** The order is undecided, or its result was lost; sending it again is safe. */
  Unknown = 'unknown'
}
