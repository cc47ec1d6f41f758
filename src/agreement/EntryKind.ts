/** Kinds of log entries. */
export enum EntryKind {
  /** A proposed value. */
  Value = 'value',
  /** A new membership of the replica group. */
  Configuration = 'configuration',
  /** No content; a leader appends it at the start of its term. */
  NoOp = 'empty'
}
