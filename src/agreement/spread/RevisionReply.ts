/** Answer to {@link RevisionRequest}. */
export interface RevisionReply {
  /** Revision of the sheet in force, 0 before the first sheet. */
  revision: number
  /** Number of that sheet, 0 before the first sheet. */
  number: number
  /** False at a replica without leader contact, which would not receive a newer sheet. */
  upToDate: boolean
}
