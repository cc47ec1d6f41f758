/** What became of an order on plans or evacuations. */
export enum PlanResult {
  /** In force, or was in force before a newer one. */
  Accepted = 'accepted',
  /** Another version is in force than the one that it builds on. */
  OtherBase = 'other-base',
  /** Its version is not above the one in force. */
  OldVersion = 'old-version',
  /** It has faults of its own. */
  Invalid = 'invalid',
  /** Not decided, or decided without an answer; sending it again is safe. */
  Unknown = 'unknown'
}
