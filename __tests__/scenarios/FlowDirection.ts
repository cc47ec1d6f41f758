/** Direction in which bytes of a forwarded connection flow. */
export enum FlowDirection {
  /** From the host that connects to the host that it connects to: requests. */
  ToTarget = 'forth',
  /** From the host that is connected to, back to the connecting host: answers. */
  ToClient = 'back'
}
