/** Reason for refusing a request; each has a counter `refused.<reason>`. */
export enum RefusalReason {
  UnknownPath = 'unknown-path',
  UnknownService = 'unknown-service',
  UnknownPlace = 'unknown-place',
  BadMethod = 'bad-method',
  BadDeadline = 'bad-deadline',
  BadJson = 'bad-json',
  BadRequest = 'bad-request',
  BodyTooLarge = 'body-too-large',
  /** The body had not arrived completely when the answer was due. */
  BodyTimedOut = 'body-late',
  /** The large bodies of other requests hold the memory that there is for them. */
  BodyMemory = 'body-memory',
  HeadersTooLarge = 'headers-too-large',
  Unauthorized = 'unauthorized',
  /** The host can't tell whether a newer plan has withdrawn keys. */
  KeysUnconfirmed = 'keys-unconfirmed',
  /** The client account has used up its quota. */
  QuotaExceeded = 'quota-exceeded',
  /** No control host answered whether the client account has quota left. */
  QuotaUnavailable = 'quota-unavailable',
  NoSheet = 'no-sheet',
  NoPlan = 'no-plan',
  NoUpstream = 'no-upstream',
  /** All upstreams that could run the request soon are full. */
  UpstreamsFull = 'upstreams-full',
  /** All upstreams that could run the request asked for a pause. */
  UpstreamsPaused = 'upstreams-paused',
  NoHost = 'no-host',
  QueueFull = 'queue-full',
  DeadlineTooShort = 'deadline-too-short',
  DeadlinePassed = 'deadline-passed',
  PlaceCap = 'place-cap',
  LinkBudget = 'link-budget',
  Shed = 'shed',
  /** An upstream refused the request although it had free slots. */
  ShedWithFreeSlots = 'shed-with-room',
  LeaseLost = 'lease-lost',
  OwnerUnreachable = 'owner-unreachable',
  UpstreamUnreachable = 'upstream-unreachable',
  AnswerLost = 'answer-lost',
  Poison = 'poison',
  /** An upstream ended under the request, and a copy of it runs now or too little is known yet. */
  SuspectWaiting = 'suspect-waiting',
  /** The host stops, and the answer might not be in before it ends. */
  Stopping = 'stopping',
  Cancelled = 'cancelled',
  TicketMissing = 'ticket-missing',
  TicketInvalid = 'ticket-invalid',
  TicketExpired = 'ticket-expired',
  TicketSealed = 'ticket-sealed',
  KeyConflict = 'key-conflict',
  ActionRunning = 'action-running',
  ActionUnknown = 'action-unknown',
  LedgerUnavailable = 'ledger-unavailable',
  LedgerContended = 'ledger-contended',
  StaleAnnouncement = 'stale-announcement',
  InternalError = 'internal-error'
}
