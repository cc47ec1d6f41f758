/** Faults that a request can inject into a stand-in upstream by the query parameter `mark`. */
export enum InjectedFault {
  None = '',
  /** The process of the upstream exits when it starts the request. */
  Crash = 'crash',
  /** The answer is sent after the deadline of the request. */
  AfterDeadline = 'late',
  /** The connection ends before the full content length is sent. */
  Truncated = 'short',
  /** The answer is chunked, and the connection ends before the last chunk is sent. */
  UnterminatedChunks = 'unfinished',
  /** More bytes than the content length are sent. */
  ExcessBytes = 'long',
  /** The complete answer is sent twice on the connection. */
  Duplicated = 'twice',
  /** The connection breaks after the request has run and before any byte of the answer is sent. */
  AnswerLost = 'lost',
  /** The upstream sheds the request without running it. */
  Shed = 'shed'
}
