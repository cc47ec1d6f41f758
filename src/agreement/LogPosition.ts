/** Index and term of an entry in the replicated log. */
export interface LogPosition {
  index: number
  term: number
}

/**
 * @param last - last entry of one log
 * @param otherLast - last entry of another log
 * @returns whether the first log is at least as up-to-date as the other one, by Raft's comparison of term, then index
 */
export function isUpToDate (last: LogPosition, otherLast: LogPosition): boolean {
  if (last.term !== otherLast.term) return last.term > otherLast.term
  return last.index >= otherLast.index
}
