/** One start of one ledger member. Each start of its process has a higher incarnation than the one before. */
export interface MemberIncarnation {
  /** Peer address of the member. */
  address: string
  incarnation: number
}

/** An epoch of a failure domain's ledger. Its members never change; each key belongs to exactly one epoch. */
export interface Epoch {
  /** Unique; ids sort by the time of opening. */
  id: string
  /** The members and the incarnations that they had when the epoch was opened. */
  members: MemberIncarnation[]
}

/** State of one epoch at one member. */
export enum EpochState {
  /**
   * The member restarted after the epoch was opened, or knows the epoch only from the status of another member, and has
   * not yet read the claims from the others. It refuses claims and reads.
   */
  Recovering = 'recovering',
  /** Accepts claims. */
  Active = 'active',
  /** Accepts no more claims, but may lack claims that other members hold. */
  Sealing = 'sealing',
  /** Accepts no more claims, and holds every claim that can have reached a quorum. */
  Sealed = 'sealed'
}
