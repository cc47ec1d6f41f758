/** Kinds of changes to the accepted sheets. */
export enum SheetEntryKind {
  /** Submits a sheet. */
  Submit = 'submit',
  /** Restores an accepted sheet that a host still held after a majority of the replicas was lost. */
  Recover = 'recover'
}
