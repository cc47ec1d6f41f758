import { PeerCallError } from '../../errors/PeerCallError.js'
import type { CallPeer } from '../../transport/CallPeer.js'
import { PeerMethod } from '../../types/PeerMethod.js'
import { fetchReplicaStatus } from '../fetchReplicaStatus.js'
import { isReplicaSpecific } from '../isReplicaSpecific.js'
import type { ProposeRequest } from '../messages/ProposeRequest.js'
import type { ProposalAnswer } from '../ProposalAnswer.js'
import { ProposalOutcome } from '../ProposalOutcome.js'
import { ReplicaRefusalReason } from '../ReplicaRefusalReason.js'
import type { SheetEntry } from './SheetEntry.js'
import type { SubmitAnswer } from './SubmitAnswer.js'

const PROPOSE_TIMEOUT_MILLISECONDS = 6_000
const STATUS_TIMEOUT_MILLISECONDS = 500

/**
 * Proposes an entry from a host without a replica, through replicas with recent leader contact.
 *
 * @param callPeer - calls a peer method
 * @param addresses - peer addresses of the replicas, preferred ones first
 * @param entry - entry to propose
 * @returns whether the entry was committed; unknown if it may have been committed through one of the replicas
 */
export async function proposeToReplicas (callPeer: CallPeer, addresses: string[], entry: SheetEntry): Promise<ProposalAnswer<SubmitAnswer>> {
  let outcome = ProposalOutcome.NotAccepted
  let reason = ReplicaRefusalReason.NoLeader
  for (const address of await findReplicasWithLeader(callPeer, addresses)) {
    const answer = await proposeThrough(callPeer, address, entry)
    if (answer.outcome === ProposalOutcome.Committed) return answer
    if (answer.outcome === ProposalOutcome.Unknown) outcome = ProposalOutcome.Unknown
    if (answer.reason !== undefined && !isReplicaSpecific(answer.reason)) reason = answer.reason
  }
  return { outcome, reason }
}

/** @returns addresses of the replicas with recent leader contact, the leader first */
async function findReplicasWithLeader (callPeer: CallPeer, addresses: string[]): Promise<string[]> {
  const statuses = await Promise.all(addresses.map((address) => fetchReplicaStatus(callPeer, address, STATUS_TIMEOUT_MILLISECONDS)))
  const leaders = addresses.filter((_, index) => statuses[index]?.hasQuorum === true)
  const followers = addresses.filter((_, index) => statuses[index]?.hearsLeader === true && statuses[index]?.hasQuorum !== true)
  return [...leaders, ...followers]
}

async function proposeThrough (callPeer: CallPeer, address: string, value: SheetEntry): Promise<ProposalAnswer<SubmitAnswer>> {
  const request: ProposeRequest = { forwarded: false, value }
  try {
    return await callPeer<ProposalAnswer<SubmitAnswer>>(address, PeerMethod.Propose, request, PROPOSE_TIMEOUT_MILLISECONDS)
  } catch (error) {
    const isRefused = error instanceof PeerCallError && error.refused
    return { outcome: isRefused ? ProposalOutcome.NotAccepted : ProposalOutcome.Unknown, reason: ReplicaRefusalReason.LeaderUnreachable }
  }
}
