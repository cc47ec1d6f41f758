/** Faults that a request can ask of a stand-in upstream, by the query parameter `mark`. */
export enum InjectedFault {
  None = '',
  /** The upstream dies when it starts the request. */
  Crash = 'crash',
  /** The answer comes after the request's deadline. */
  AfterDeadline = 'late',
  /** The connection breaks before the announced length was sent. */
  Truncated = 'short',
  /** A chunked answer whose last chunk never comes. */
  UnterminatedChunks = 'unfinished',
  /** More bytes than the announced length are sent. */
  ExcessBytes = 'long',
  /** The whole answer is sent twice on the connection. */
  Duplicated = 'twice',
  /** The connection breaks after the request ran, before any byte of the answer. */
  AnswerLost = 'lost',
  /** The upstream sheds the request. */
  Shed = 'shed'
}
