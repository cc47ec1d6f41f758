/** Address and location of a control host. */
export interface ControlHost {
  /** `ip:port` for calls between hosts. */
  peerAddress: string
  /** Failure domain; like the region undefined until the host has reported it. */
  domain: string | undefined
  region: string | undefined
}
