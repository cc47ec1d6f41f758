/** Address families of guest blocks; each value is the IP version. */
export enum AddressFamily {
  IPv4 = 4,
  IPv6 = 6
}

/** An address as unsigned 32-bit words, the most significant first: one word for IPv4, four for IPv6. */
export interface ParsedAddress {
  family: AddressFamily
  words: number[]
}

/** A CIDR block of guest addresses: all addresses that share the first `length` bits. */
export interface GuestBlock extends ParsedAddress {
  length: number
}
