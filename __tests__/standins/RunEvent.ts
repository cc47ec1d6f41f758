/** Kinds of lines in a stand-in upstream's run log. */
export enum RunEvent {
  /** The upstream started to listen for requests. */
  Listening = 'up',
  /** The work of a request began. */
  Start = 'start',
  /** The work of a request ended; its answer is sent after this line. */
  End = 'end',
  /** The connection closed before the work of a request ended, which stopped the work. */
  Cancelled = 'cancelled',
  /** A request was shed without being run, by an injected fault or a passed deadline. */
  Shed = 'shed',
  /** A request arrived while all slots were in use, and was shed without being run. */
  SlotsExceeded = 'above-slots',
  /** A connection was opened above the connection limit. */
  ConnectionsExceeded = 'above-connections',
  /** A request injected a crash, which ends the process. */
  Crash = 'crash',
  /** The upstream announced that it leaves. */
  Leaving = 'leaving',
  /** The owner confirmed that the upstream is drained. */
  Drained = 'drained'
}
