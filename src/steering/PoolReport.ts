/** Report of an owner on its pool. */
export interface PoolReport {
  /** Slots without a running request; a negative value is the number of waiting requests. */
  freeSlots: number
  slots: number
}

/** Report of an owner on its pool with an answer or a refusal. */
export interface AnswerReport extends PoolReport {
  /** Time from the arrival of the request at the owner to the start of the answer. */
  heldMilliseconds: number
  /** Run time on the upstream; absent when none ran the request. */
  runMilliseconds?: number
}
