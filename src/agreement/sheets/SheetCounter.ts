/** Names of the counters of sheet submissions. */
export enum SheetCounter {
  Accepted = 'sheet.submit.accepted',
  AcceptedBefore = 'sheet.submit.accepted-before',
  Conflict = 'sheet.submit.conflict',
  Stale = 'sheet.submit.stale',
  Forgotten = 'sheet.submit.forgotten',
  NoQuorum = 'sheet.submit.no-quorum',
  Retried = 'sheet.submit.retried'
}
