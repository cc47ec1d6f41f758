/** What a log entry holds. */
export enum EntryKind {
  /** A proposed value. */
  Value = 'value',
  /** A new membership of the replica group. */
  Configuration = 'configuration',
  /** Nothing; a leader commits it at the start of its term. */
  NoOp = 'empty'
}
