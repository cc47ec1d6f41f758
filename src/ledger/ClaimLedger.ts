/** Stored answer of a one-time action. */
export interface StoredAnswer {
  status: number
  headers: Array<[string, string]>
  /** Body in base64. */
  body: string
}

/** Result of a claim. */
export enum ClaimResult {
  /** The caller, and no other claimant, may run the action now. */
  Granted = 'granted',
  /** The action ran; its stored answer is returned. */
  Answered = 'answered',
  /** Another claimant holds the key, and its action has not ended. */
  Running = 'running',
  /** The action may have run; its answer is lost. */
  Unknown = 'unknown',
  /** The key was used with another body. */
  Conflict = 'conflict',
  /** The key's ticket has expired. */
  Expired = 'expired',
  /** The key's ticket is malformed, not signed by this system, or of no known failure domain. */
  InvalidTicket = 'invalid-ticket',
  /** The ticket's epoch is sealed and the key was never claimed in it: the action did not and will not run. */
  Sealed = 'sealed',
  /** Too few ledger hosts answered, or they were full; this call claimed nothing. */
  NoQuorum = 'no-quorum',
  /** Another claimant claimed the key at the same time; both withdrew, and another attempt is safe. */
  Contended = 'contended'
}

/** Answer to a claim. */
export interface ClaimAnswer {
  result: ClaimResult
  /** The stored answer, with {@link ClaimResult.Answered}. */
  answer?: StoredAnswer
  /**
   * Whether an earlier attempt with the same key and body may have run.
   * If false with any result but Granted, the action did not run, and the answer to the guest may say so.
   */
  mayHaveRun: boolean
  /**
   * To be called right before the first byte is sent to an upstream, only with {@link ClaimResult.Granted}.
   *
   * @returns false once the time to dispatch has passed or the claim has ended; the caller then releases the claim
   */
  isStillValid: () => boolean
}

/** Records each one-time action before it runs, so that it runs at most once. */
export interface ClaimLedger {
  /** @returns a ticket prefix for new one-time actions, undefined while the ledger of this failure domain has no quorum */
  ticketPrefix (): string | undefined
  /**
   * Claims a key before its action is sent to an upstream.
   *
   * @param key - ticket prefix, `.`, the guest's own key
   * @param bodyDigest - SHA-256 of service, method, path and body
   * @returns the result, with the stored answer if the action ran
   */
  claim (key: string, bodyDigest: string): Promise<ClaimAnswer>
  /** Stores the answer of an action that this host claimed. */
  complete (key: string, answer: StoredAnswer): Promise<void>
  /** Marks an action that this host claimed as possibly run, with its answer lost. */
  markUnknown (key: string): Promise<void>
  /** Releases a claim whose action certainly did not run. */
  release (key: string): Promise<void>
}
