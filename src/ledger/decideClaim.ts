import { hasAgreeingSet } from './hasAgreeingSet.js'
import { ClaimResult, type StoredAnswer } from './ClaimLedger.js'
import { ClaimVerdict, type ClaimReply } from './LedgerMessages.js'
import { intersectingSize, quorumSize } from './quorumSize.js'

/** Decision from the replies to one attempt of a claim. */
export interface ClaimDecision {
  /** Undefined while another attempt may have a better result. */
  result?: ClaimResult
  answer?: StoredAnswer
  mayHaveRun: boolean
  /** Claims of other claimants on the same key. */
  rivals: string[]
  /** Whether the time to run of one of them has passed. */
  isOverdue?: boolean
}

/** Verdicts of members that hold no records of the epoch, or lost them in a restart. */
const LOST_VERDICTS = [ClaimVerdict.Recovering, ClaimVerdict.NoEpoch]
/** Verdicts of members that hold no claim of another claimant on the key. */
const UNCLAIMED_VERDICTS = [ClaimVerdict.Acknowledged, ClaimVerdict.Full, ClaimVerdict.Withdrawn]

/**
 * Decides an attempt by the replies so far.
 *
 * @param replies - at most one of each ledger host
 * @param bodyDigest - digest of service, method, path and body of the claimed action
 * @param hostCount - number of hosts that the claim was sent to
 * @returns the decision, without a result if another attempt makes sense
 */
export function decideClaim (replies: ClaimReply[], bodyDigest: string, hostCount: number): ClaimDecision {
  const members = replies.find(({ incarnations }) => incarnations.length > 0)?.incarnations.map(({ address }) => address)
  if (members === undefined) return decideWithoutEpoch(replies, hostCount)
  const quorum = quorumSize(members.length)
  const memberReplies = replies.filter((reply) => members.includes(reply.member))
  const settledDecision = findSettledDecision(replies, bodyDigest)
  if (settledDecision !== undefined) return settledDecision
  if (hasAgreeingSet(filterByVerdict(memberReplies, [ClaimVerdict.Acknowledged]), quorum)) return { result: ClaimResult.Granted, mayHaveRun: false, rivals: [] }
  if (replies.some(({ verdict }) => verdict === ClaimVerdict.Unclaimed)) return { result: ClaimResult.Sealed, mayHaveRun: false, rivals: [] }
  if (filterByVerdict(memberReplies, LOST_VERDICTS).length >= quorum) return { result: ClaimResult.Unknown, mayHaveRun: true, rivals: [] }
  return decideUnsettled(memberReplies, bodyDigest, members.length)
}

function decideWithoutEpoch (replies: ClaimReply[], hostCount: number): ClaimDecision {
  const result = replies.length >= quorumSize(hostCount) ? ClaimResult.Unknown : ClaimResult.NoQuorum
  return { result, mayHaveRun: true, rivals: [] }
}

function findSettledDecision (replies: ClaimReply[], bodyDigest: string): ClaimDecision | undefined {
  const endedReply = filterByVerdict(replies, [ClaimVerdict.Done])[0] ?? filterByVerdict(replies, [ClaimVerdict.Unknown])[0]
  if (endedReply === undefined) return undefined
  if (endedReply.claims.some((held) => held.bodyDigest !== bodyDigest)) return { result: ClaimResult.Conflict, mayHaveRun: false, rivals: [] }
  if (endedReply.verdict === ClaimVerdict.Unknown) return { result: ClaimResult.Unknown, mayHaveRun: true, rivals: [] }
  return { result: ClaimResult.Answered, answer: endedReply.answer, mayHaveRun: true, rivals: [] }
}

function decideUnsettled (memberReplies: ClaimReply[], bodyDigest: string, memberCount: number): ClaimDecision {
  const heldClaims = memberReplies.flatMap(({ claims }) => claims)
  const rivals = [...new Set(heldClaims.map(({ claim }) => claim))]
  const isOverdue = memberReplies.some(({ verdict }) => verdict === ClaimVerdict.Overdue)
  const mayHaveRun = rivals.length > 0 || filterByVerdict(memberReplies, UNCLAIMED_VERDICTS).length < intersectingSize(memberCount)
  const unsettled = { mayHaveRun, rivals, isOverdue }
  const quorumClaim = rivals.find((rival) => heldClaims.filter(({ claim }) => claim === rival).length >= quorumSize(memberCount))
  if (quorumClaim !== undefined && heldClaims.some(({ claim, bodyDigest: digest }) => claim === quorumClaim && digest !== bodyDigest)) {
    return { ...unsettled, result: ClaimResult.Conflict, mayHaveRun: false }
  }
  if (quorumClaim !== undefined) return { ...unsettled, result: isOverdue ? ClaimResult.Unknown : ClaimResult.Running }
  if (rivals.length > 0) return unsettled
  if (memberReplies.some(({ verdict }) => verdict === ClaimVerdict.Expired)) return { ...unsettled, result: ClaimResult.Expired }
  if (filterByVerdict(memberReplies, [ClaimVerdict.Acknowledged]).length >= quorumSize(memberCount)) return unsettled
  return { ...unsettled, result: ClaimResult.NoQuorum }
}

function filterByVerdict (replies: ClaimReply[], verdicts: ClaimVerdict[]): ClaimReply[] {
  return replies.filter(({ verdict }) => verdicts.includes(verdict))
}
