/** Limits of what one ledger member holds, over all its epochs. */
export interface LedgerLimits {
  records: number
  /** Bytes of all stored answers together. */
  answerBytes: number
  /** Bytes of one stored answer; of an action with a larger answer only the outcome is stored. */
  oneAnswerBytes: number
  /** Maximum difference between the wall clocks of two hosts that the settings allow, in milliseconds. */
  clockDifferenceMilliseconds: number
}

export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  records: 50_000,
  answerBytes: 16 * 1024 * 1024,
  oneAnswerBytes: 64 * 1024,
  clockDifferenceMilliseconds: 5_000
}
