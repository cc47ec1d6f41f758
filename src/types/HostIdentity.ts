/** Name, location and addresses (`ip:port`) of one host of the system. */
export interface HostIdentity {
  /** Name of the host, unique in the system. */
  name: string
  /** Name of the failure domain that contains the host. */
  domain: string
  /** Name of the region that contains the failure domain. */
  region: string
  /** Address for calls between hosts. */
  peerAddress: string
  /** Address for guests and upstreams. */
  guestAddress: string
}
