/** How a claimed action ended. */
export enum ClaimOutcome {
  /** It ran, and its answer arrived. */
  Done = 'done',
  /** It may have run, and its answer is lost. */
  Unknown = 'unknown'
}

/** A claim that one claimant holds on a key. */
export interface HeldClaim {
  /** Unique for each attempt of each claimant. */
  claim: string
  bodyDigest: string
}

/** State of one key at one member. */
export interface ClaimRecord {
  /** Digest of the key. */
  key: string
  /** Claims that were neither released nor overruled. More than one only if members disagreed when their records were merged. */
  claims: HeldClaim[]
  /** Latest released claims, so that a late copy of one of them is refused. */
  released: string[]
  outcome?: ClaimOutcome
  /** The stored answer as JSON text, which takes less memory than the object. */
  answer?: string
  /** Wall-clock time at which the key's ticket expires. */
  expiresAt: number
  /** Time that the claimant has before a repeated request gets the answer that the outcome is unknown. */
  runMilliseconds: number
  /** Monotonic time of the claim. */
  claimedAt: number
  /** Position of the last change among all changes of the same store. */
  sequence: number
}

/** A record as it is sent between members: with its age in place of its monotonic time. */
export interface ClaimRecordCopy extends Omit<ClaimRecord, 'claimedAt'> {
  ageMilliseconds: number
}
