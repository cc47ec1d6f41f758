/** Whose answer a head introduces that is found within the body of another answer. */
export enum HeadOrigin {
  /** The head names the request that was sent. */
  SameRequest = 'same-request',
  /** The head bears the marks of an upstream's answer, but does not name the request that was sent. */
  Upstream = 'upstream',
  /** Nothing in the head tells; it may be text of the body. */
  Unknown = 'unknown'
}
