/** Load that an upstream reported with an answer. */
export interface LoadReport {
  /** Requests that it is running. */
  running: number
  /** Requests waiting in its queue. */
  waiting: number
  /** Requests that it can run at the same time. */
  slots: number
  /** How long work takes there at this moment, in percent of its usual time; undefined when the upstream does not tell. */
  workPercent?: number
}
