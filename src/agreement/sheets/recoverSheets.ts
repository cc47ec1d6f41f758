import { ReplicaRefusedError } from '../../errors/ReplicaRefusedError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import type { CallPeer } from '../../transport/CallPeer.js'
import { Step } from '../../types/Step.js'
import { listVoters } from '../ReplicaConfiguration.js'
import { fetchRevision } from '../spread/fetchRevision.js'
import { fetchSheet } from '../spread/fetchSheet.js'
import type { StoredSheet } from '../spread/StoredSheet.js'
import { unpackVerified } from '../spread/unpackVerified.js'
import { pause } from '../../utils/pause.js'
import type { AcceptedSheet } from './AcceptedSheet.js'
import type { SheetReplica } from './createSheetReplica.js'
import { packContent } from './packContent.js'
import { SheetEntryKind } from './SheetEntryKind.js'

const REVISION_TIMEOUT_MILLISECONDS = 1_000
const FETCH_TIMEOUT_MILLISECONDS = 10_000
const LEADER_TIMEOUT_MILLISECONDS = 10_000
const POLL_MILLISECONDS = 50

/** Options of {@link recoverSheets}. */
export interface RecoverSheetsOptions {
  replica: SheetReplica
  /** Identity of this replica, as confirmation. */
  identity: string
  callPeer: CallPeer
  /** Peer addresses of all hosts, with and without replicas. */
  hostAddresses: string[]
  /** Compresses a content, by default with {@link packContent}. */
  pack?: (content: string) => Promise<string>
}

/**
 * Recovers with one replica after a majority is lost permanently: forces a new membership with this replica alone,
 * then commits the accepted sheet with the highest revision found on any host to the log.
 * The recovery can be repeated after an interruption.
 *
 * @param options - replica that recovers, and the hosts to search for sheets
 * @returns newest accepted sheet after the recovery, undefined if no host holds one
 * @throws {@link ReplicaRefusedError} when the membership must not be forced, or the sheet is not committed
 */
export async function recoverSheets (options: RecoverSheetsOptions): Promise<AcceptedSheet | undefined> {
  const { replicatedLog, registry } = options.replica
  await ensureSoleMembership(options)
  const highest = await findHighestSheet(options)
  if (highest === undefined) return undefined
  const { sheet: { number, digest, operator = '', acceptedAt: submittedAt, revision }, packedContent } = highest
  const answer = await replicatedLog.propose({ kind: SheetEntryKind.Recover, number, digest, operator, submittedAt, revision, packedContent })
  if (answer.result === undefined) throw new ReplicaRefusedError(errorTexts.recoveryNotCommitted(answer.reason ?? ''), Step.Reconfigure, options.identity)
  return registry.history().at(-1)
}

async function ensureSoleMembership ({ replica: { replicatedLog }, identity }: RecoverSheetsOptions): Promise<void> {
  const { hasQuorum, configuration } = replicatedLog.status()
  const isSoleVoter = hasQuorum && listVoters(configuration).length === 1
  if (!isSoleVoter) await replicatedLog.forceNewMembership(identity)
  const deadline = performance.now() + LEADER_TIMEOUT_MILLISECONDS
  while (!replicatedLog.status().hasQuorum) {
    if (performance.now() > deadline) throw new ReplicaRefusedError(errorTexts.recoveryNotCommitted('no leader'), Step.Reconfigure, identity)
    await pause(POLL_MILLISECONDS)
  }
}

async function findHighestSheet (options: RecoverSheetsOptions): Promise<StoredSheet | undefined> {
  const request = { knownRevision: 0, waitMilliseconds: 0 }
  const revisionsByHost = await Promise.all(options.hostAddresses.map(async (address) => {
    const reply = await fetchRevision(options.callPeer, address, request, REVISION_TIMEOUT_MILLISECONDS)
    return { address, revision: reply?.revision ?? 0 }
  }))
  const ranked = revisionsByHost.filter(({ revision }) => revision > 0).sort((left, right) => right.revision - left.revision)
  const localSheet = options.replica.registry.current()
  for (const { address, revision } of ranked) {
    if (localSheet !== undefined && localSheet.revision >= revision) break
    const stored = await fetchIntactSheet(options.callPeer, address)
    if (stored !== undefined) return stored
  }
  if (localSheet === undefined) return undefined
  const { content, ...sheet } = localSheet
  return { sheet, packedContent: await (options.pack ?? packContent)(content) }
}

async function fetchIntactSheet (callPeer: CallPeer, address: string): Promise<StoredSheet | undefined> {
  try {
    const stored = await fetchSheet(callPeer, address, FETCH_TIMEOUT_MILLISECONDS)
    return stored !== undefined && unpackVerified(stored) !== undefined ? stored : undefined
  } catch {
    return undefined
  }
}
