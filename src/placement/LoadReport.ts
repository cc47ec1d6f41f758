/** What an upstream said of its load with an answer. */
export interface LoadReport {
  /** Requests that it runs. */
  running: number
  /** Requests that wait in its queue. */
  waiting: number
  /** Requests that it can run at once. */
  slots: number
}
