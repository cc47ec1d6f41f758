/** Load that an upstream reported with an answer. */
export interface LoadReport {
  /** Requests that it is running. */
  running: number
  /** Requests waiting in its queue. */
  waiting: number
  /** Requests that it can run at the same time. */
  slots: number
}
