/** Kinds of lines in a stand-in upstream's run log. */
export enum RunEvent {
  /** The process started to take requests. */
  Listening = 'up',
  /** A request's work began. */
  Start = 'start',
  /** A request's work ended and its answer was written. */
  End = 'end',
  /** The connection closed before the work ended; the work stopped. */
  Cancelled = 'cancelled',
  /** A request was shed without being run. */
  Shed = 'shed',
  /** A request came while every slot was taken; it was shed without being run. */
  SlotsExceeded = 'above-slots',
  /** A connection came while the connection limit was reached. */
  ConnectionsExceeded = 'above-connections',
  /** The process died of a marked request. */
  Crash = 'crash',
  /** The upstream announced that it leaves. */
  Leaving = 'leaving',
  /** The owner confirmed that the upstream is drained. */
  Drained = 'drained'
}
