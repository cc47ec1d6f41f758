/** What can go wrong with requests at a listener, outside of what their handler tells of. */
export enum ListenerFault {
  /** A request was read, but can't be answered: the answer before it closed its connection, or its caller has left. */
  RequestDropped = 'request-dropped',
  /** Bytes are not a valid HTTP request. */
  Malformed = 'malformed',
  /** The handler of a request failed, so that its connection was closed. */
  HandlerFailed = 'handler-failed'
}
