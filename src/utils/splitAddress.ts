/** IP address and port of an address. */
export interface AddressParts {
  host: string
  port: number
}

/**
 * Splits an address into its IP address and its port, without checking either.
 *
 * @param address - `ip:port`, with an IPv6 address in brackets
 * @returns the IP address without brackets, and the port as converted by `Number`
 */
export function splitAddress (address: string): AddressParts {
  const colonIndex = address.lastIndexOf(':')
  const host = address.slice(0, colonIndex).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colonIndex + 1)) }
}
