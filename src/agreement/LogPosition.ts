/** A place in the replicated log. */
export interface LogPosition {
  index: number
  term: number
}

/**
 * @param last - last entry of one log
 * @param otherLast - last entry of another
 * @returns whether the left log holds everything committed that the right one may hold
 */
export function isUpToDate (last: LogPosition, otherLast: LogPosition): boolean {
  if (last.term !== otherLast.term) return last.term > otherLast.term
  return last.index >= otherLast.index
}
