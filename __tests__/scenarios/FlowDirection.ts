/** One of the two ways of the bytes of a connection. */
export enum FlowDirection {
  /** From the host that connects to the one that it connects to. */
  ToTarget = 'forth',
  /** The other way: answers. */
  ToClient = 'back'
}
