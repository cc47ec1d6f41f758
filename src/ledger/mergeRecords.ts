import { ClaimOutcome, type ClaimRecord, type HeldClaim } from './ClaimRecord.js'

const MAXIMUM_RELEASED_CLAIMS = 8

type UnsequencedRecord = Omit<ClaimRecord, 'sequence'>

/**
 * Merges the records of two members for one key. Whatever blocks a new claim in either record blocks it in the result:
 * an outcome overrules claims, and a release removes only the claim that it names.
 *
 * @param left - one member's record
 * @param right - another member's record of the same key
 * @returns a new record
 */
export function mergeRecords (left: UnsequencedRecord, right: UnsequencedRecord): UnsequencedRecord {
  const released = limitReleased([...left.released, ...right.released])
  const decided = pickDecided(left, right)
  return {
    key: left.key,
    claims: decided === undefined ? removeReleased([...left.claims, ...right.claims], released) : decided.claims,
    released,
    outcome: decided?.outcome,
    answer: decided?.answer,
    expiresAt: Math.max(left.expiresAt, right.expiresAt),
    runMilliseconds: Math.max(left.runMilliseconds, right.runMilliseconds),
    claimedAt: Math.min(left.claimedAt, right.claimedAt)
  }
}

/**
 * @param released - released claims, oldest first
 * @returns the latest of them without duplicates, limited in number
 */
export function limitReleased (released: string[]): string[] {
  return [...new Set(released)].slice(-MAXIMUM_RELEASED_CLAIMS)
}

function pickDecided (left: UnsequencedRecord, right: UnsequencedRecord): UnsequencedRecord | undefined {
  const decided = [left, right].filter((record) => record.outcome !== undefined)
  return decided.find((record) => record.answer !== undefined) ??
    decided.find((record) => record.outcome === ClaimOutcome.Done) ?? decided[0]
}

function removeReleased (claims: HeldClaim[], released: string[]): HeldClaim[] {
  const claimsByName = new Map(claims.map((held) => [held.claim, held]))
  for (const claim of released) claimsByName.delete(claim)
  return [...claimsByName.values()]
}
