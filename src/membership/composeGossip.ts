import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import type { DomainDigest } from './DomainDigest.js'
import type { GossipMessage } from './GossipMessage.js'
import type { MembershipView } from './MembershipView.js'

/** Maximum total size of the records in one probe, heartbeat or answer. */
export const MAXIMUM_GOSSIP_BYTES = 1400
/** Fraction of the messages that carry the digest of the remote domain that changed last. */
const CHANGED_DOMAIN_PROBABILITY = 0.5

/**
 * Composes a probe, a heartbeat or an answer to one.
 *
 * @param view - the sender's view
 * @param random - returns random numbers from 0 (inclusive) to 1 (exclusive); selects the remote domain whose digest is included
 * @param receiverName - name of the receiver; if it is suspect or dead, its record is included so that it can refute it
 * @param corrections - records that the receiver is known to lack
 */
export function composeGossip (view: MembershipView, random: () => number, receiverName?: string, corrections: Member[] = []): GossipMessage {
  const receiverRecord = receiverName === undefined ? undefined : view.table.getMember(receiverName)
  const priorityRecords = receiverRecord !== undefined && receiverRecord.state !== MemberState.Alive ? [receiverRecord, ...corrections] : corrections
  const updates = selectFittingRecords(view, priorityRecords, MAXIMUM_GOSSIP_BYTES)
  const usedBytes = updates.reduce((sum, member) => sum + view.table.getRecordBytes(member.host.name), 0)
  const queuedNames = usedBytes >= MAXIMUM_GOSSIP_BYTES
    ? []
    : view.queue.takeNames(MAXIMUM_GOSSIP_BYTES - usedBytes, view.listPeers().length + 1, (name) => view.table.getRecordBytes(name))
  updates.push(...queuedNames.filter((name) => name !== view.self.name).map((name) => view.table.getMember(name)!))
  return { from: view.localMember, updates, digests: chooseDigests(view, random), contacts: view.contacts.takeContacts() }
}

/**
 * Selects the leading records that fit into a message.
 *
 * @param view - view whose table holds the sizes of the records
 * @param records - candidates, the most important first
 * @param maximumBytes - maximum total size; the first record is included regardless of its size
 * @returns the records that fit
 */
export function selectFittingRecords (view: MembershipView, records: Member[], maximumBytes: number): Member[] {
  const fitting: Member[] = []
  let bytes = 0
  for (const record of records) {
    bytes += view.table.getRecordBytes(record.host.name)
    if (fitting.length > 0 && bytes > maximumBytes) break
    fitting.push(record)
  }
  return fitting
}

/**
 * Returns the digests of the local domain and of one remote domain. Often this is the domain that changed last, as it is
 * the most likely to differ between two hosts.
 */
function chooseDigests (view: MembershipView, random: () => number): DomainDigest[] {
  const remoteDomains = view.listRemoteDomains()
  const changedDomain = random() < CHANGED_DOMAIN_PROBABILITY ? remoteDomains.find((domain) => domain === view.lastChangedDomain) : undefined
  const chosenDomain = changedDomain ?? remoteDomains[Math.floor(random() * remoteDomains.length)]
  const domains = chosenDomain === undefined ? [view.self.domain] : [view.self.domain, chosenDomain]
  return domains.map((domain) => ({ domain, hash: view.table.hashDomain(domain) }))
}
