import { timingSafeEqual } from 'node:crypto'
import { createNonce } from './createNonce.js'

const RADIX = 36
const SEPARATOR = '.'
const PREFIX_PART_COUNT = 5
const MAXIMUM_GUEST_KEY_CHARACTERS = 256

/**
 * Signs a text with the key of the system.
 *
 * @param text - text to sign
 * @returns the signature, hexadecimal or base64url
 */
export type SignText = (text: string) => string

/** Content of a ticket prefix. */
export interface Ticket {
  /** Home failure domain, whose ledger holds the key. */
  domain: string
  /** Id of the ledger epoch that the key belongs to. */
  epoch: string
  /** Wall-clock time from which on the key is refused. */
  expiresAt: number
}

/**
 * Writes a ticket prefix. Each one is unique, so that the keys of two guests differ even if both choose the same suffix.
 *
 * @param ticket - content of the prefix
 * @param sign - signs the content
 * @returns the signed prefix
 */
export function writeTicketPrefix (ticket: Ticket, sign: SignText): string {
  const domain = encodeURIComponent(ticket.domain).replaceAll(SEPARATOR, '%2E')
  const text = [domain, ticket.epoch, ticket.expiresAt.toString(RADIX), createNonce()].join(SEPARATOR)
  return text + SEPARATOR + sign(text)
}

/**
 * Reads the ticket of a key and checks its signature.
 *
 * @param key - ticket prefix, `.`, the guest's own key
 * @param sign - signs a text with the same key as the writer of the ticket
 * @returns the ticket, undefined when the key is malformed or was not signed by this system
 */
export function readTicket (key: string, sign: SignText): Ticket | undefined {
  const parts = key.split(SEPARATOR)
  const [domain, epoch, expiry, nonce, signature] = parts
  if (domain === undefined || epoch === undefined || expiry === undefined || nonce === undefined || signature === undefined) return undefined
  const guestKey = parts.slice(PREFIX_PART_COUNT).join(SEPARATOR)
  if (guestKey.length === 0 || guestKey.length > MAXIMUM_GUEST_KEY_CHARACTERS) return undefined
  const expected = sign([domain, epoch, expiry, nonce].join(SEPARATOR))
  if (!isEqual(expected, signature)) return undefined
  return { domain: decodeURIComponent(domain), epoch, expiresAt: parseInt(expiry, RADIX) }
}

function isEqual (expected: string, given: string): boolean {
  const left = Buffer.from(expected)
  const right = Buffer.from(given)
  return left.length === right.length && timingSafeEqual(left, right)
}
