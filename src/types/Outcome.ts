/** Outcome of a request as reported to the guest. */
export enum Outcome {
  /** An upstream ran the request; the answer is the upstream's complete answer. */
  Ran = 'ran',
  /** No upstream ran any part of the request. */
  NotRun = 'not-run',
  /** The request may have run. */
  Unknown = 'unknown'
}
