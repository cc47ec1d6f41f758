import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import type { DomainDigest } from './DomainDigest.js'
import type { GossipMessage } from './GossipMessage.js'
import type { MembershipView } from './MembershipView.js'

/** Most bytes of records on one probe, heartbeat or answer to them. */
export const MAXIMUM_GOSSIP_BYTES = 1400
/** Part of the messages that carry the digest of the foreign domain that changed last. */
const CHANGED_DOMAIN_PROBABILITY = 0.5

/**
 * Makes a probe, a heartbeat or an answer to one.
 *
 * @param view - the sender's view
 * @param random - chooses the domain whose digest rides along
 * @param receiverName - name of the receiver, so that it learns of a suspicion of itself
 * @param corrections - records that the receiver is known to lack
 */
export function composeGossip (view: MembershipView, random: () => number, receiverName?: string, corrections: Member[] = []): GossipMessage {
  const receiverRecord = receiverName === undefined ? undefined : view.table.getMember(receiverName)
  const priorityRecords = receiverRecord !== undefined && receiverRecord.state !== MemberState.Alive ? [receiverRecord, ...corrections] : corrections
  const updates = takeFittingRecords(view, priorityRecords, MAXIMUM_GOSSIP_BYTES)
  const usedBytes = updates.reduce((sum, member) => sum + view.table.getRecordBytes(member.host.name), 0)
  const queuedNames = usedBytes >= MAXIMUM_GOSSIP_BYTES
    ? []
    : view.queue.takeNames(MAXIMUM_GOSSIP_BYTES - usedBytes, view.listPeers().length + 1, (name) => view.table.getRecordBytes(name))
  updates.push(...queuedNames.filter((name) => name !== view.self.name).map((name) => view.table.getMember(name)!))
  return { from: view.localMember, updates, digests: chooseDigests(view, random), contacts: view.contacts.takeContacts() }
}

/**
 * @param view - holds the sizes of the records
 * @param records - the records, most important first
 * @param maximumBytes - most bytes; the first record is kept whatever its size
 * @returns the records that fit
 */
export function takeFittingRecords (view: MembershipView, records: Member[], maximumBytes: number): Member[] {
  const fitting: Member[] = []
  let bytes = 0
  for (const record of records) {
    bytes += view.table.getRecordBytes(record.host.name)
    if (fitting.length > 0 && bytes > maximumBytes) break
    fitting.push(record)
  }
  return fitting
}

/** A domain that changed lately is the likeliest to differ between two hosts. */
function chooseDigests (view: MembershipView, random: () => number): DomainDigest[] {
  const remoteDomains = view.listRemoteDomains()
  const changedDomain = random() < CHANGED_DOMAIN_PROBABILITY ? remoteDomains.find((domain) => domain === view.lastChangedDomain) : undefined
  const chosenDomain = changedDomain ?? remoteDomains[Math.floor(random() * remoteDomains.length)]
  const domains = chosenDomain === undefined ? [view.self.domain] : [view.self.domain, chosenDomain]
  return domains.map((domain) => ({ domain, hash: view.table.hashDomain(domain) }))
}
