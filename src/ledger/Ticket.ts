import { timingSafeEqual } from 'node:crypto'
import { createNonce } from './createNonce.js'

const RADIX = 36
const SEPARATOR = '.'
const PREFIX_PART_COUNT = 5
const MAXIMUM_GUEST_KEY_CHARACTERS = 256

/**
 * Signs a text with the system's key.
 *
 * @param text - what to sign
 * @returns the signature, hexadecimal or base64url
 */
export type SignText = (text: string) => string

/** What a ticket prefix says. */
export interface Ticket {
  /** Home failure domain, whose ledger holds the key. */
  domain: string
  /** Id of the ledger epoch in which the key lives. */
  epoch: string
  /** Wall-clock time from which on the key is refused. */
  expiresAt: number
}

/**
 * Writes a ticket prefix. Each one is unique, so that two guests that choose the same key of their own do not meet.
 *
 * @param ticket - what it says
 * @param sign - signs it
 * @returns the prefix
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
 * @param sign - signs a text as the writer did
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
