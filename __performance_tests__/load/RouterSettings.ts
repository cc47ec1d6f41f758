/** Settings of a router without a policy, passed to its process as JSON. */
export interface RouterSettings {
  /** `ip:port` to listen on. */
  address: string
  /** Addresses of the upstreams of each service. */
  upstreams: Record<string, string[]>
  /** Guest addresses that look-ups return; if undefined, they return the upstreams of the service. */
  entryAddresses?: string[]
}
