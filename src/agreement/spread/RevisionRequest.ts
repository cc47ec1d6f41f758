/** Requests the revision of the sheet in force at a host. */
export interface RevisionRequest {
  /** Revision of the sheet that the caller has, 0 for none. */
  knownRevision: number
  /** Maximum time for which the answer may wait for a higher revision, in milliseconds. */
  waitMilliseconds: number
}
