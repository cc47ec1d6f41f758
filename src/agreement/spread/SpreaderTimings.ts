/** Intervals and timeouts of a {@link SheetSpreader}, in milliseconds. */
export interface SpreaderTimings {
  /** Time for which a watched host holds a call open before it answers that there is no newer sheet. */
  watchMilliseconds: number
  /** Timeout of a call, in addition to the time for which it is held open. */
  callMilliseconds: number
  /** Timeout of a call for one part of a sheet's content. */
  fetchMilliseconds: number
  /** Mean interval between two comparisons with a random host. */
  compareMilliseconds: number
  /** Delay before the next attempt after a failed watch, fetch or survey. */
  retryMilliseconds: number
  /** Maximum time for which a starting host waits for answers of a majority of the replicas. */
  readyMilliseconds: number
}

/** Default timings, with which a sheet is in force on all hosts within two seconds. */
export const defaultSpreaderTimings: SpreaderTimings = {
  watchMilliseconds: 3_000,
  callMilliseconds: 500,
  fetchMilliseconds: 3_000,
  compareMilliseconds: 700,
  retryMilliseconds: 200,
  readyMilliseconds: 5_000
}
