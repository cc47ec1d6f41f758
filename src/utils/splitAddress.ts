/** The two parts of an address. */
export interface AddressParts {
  host: string
  port: number
}

/**
 * Splits an address into its IP number and its port.
 *
 * @param address - `ip:port`, an IPv6 number in brackets
 */
export function splitAddress (address: string): AddressParts {
  const colonIndex = address.lastIndexOf(':')
  const host = address.slice(0, colonIndex).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colonIndex + 1)) }
}
