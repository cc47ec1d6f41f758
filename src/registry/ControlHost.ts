/** Where a control host is. */
export interface ControlHost {
  /** `ip:port` for calls between hosts. */
  peerAddress: string
  /** Undefined until the host has told. */
  domain: string | undefined
  region: string | undefined
}
