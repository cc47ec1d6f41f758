import { fetchRevision } from './fetchRevision.js'
import type { SpreaderOptions } from './SpreaderOptions.js'

/** Revisions that a starting host received from the others. */
export interface RevisionSurvey {
  /** Whether a majority of the replicas answered and has leader contact. */
  isComplete: boolean
  /** Peer addresses of the hosts that have a sheet, the highest revision first. */
  sources: string[]
  /** The highest revision received, 0 if none. */
  revision: number
}

/**
 * Requests the revisions of the replicas and of the other hosts of this host's failure domain.
 *
 * @param options - options of the spreader
 * @param timeoutMilliseconds - timeout of each call
 * @returns the highest revision and the hosts that have a sheet
 */
export async function surveyRevisions (options: SpreaderOptions, timeoutMilliseconds: number): Promise<RevisionSurvey> {
  const replicas = options.replicaAddresses()
  const localAddress = options.identity.peerAddress
  const addresses = new Set([...replicas, ...options.domainPeers().map(({ address }) => address)])
  const askedAddresses = [...addresses].filter((address) => address !== localAddress)
  const request = { knownRevision: 0, waitMilliseconds: 0 }
  const replies = await Promise.all(askedAddresses.map((address) => fetchRevision(options.callPeer, address, request, timeoutMilliseconds)))
  const answers = replies.flatMap((reply, index) => reply === undefined ? [] : [{ address: askedAddresses[index] ?? '', ...reply }])
  const upToDateReplicas = answers.filter(({ address, upToDate }) => upToDate && replicas.includes(address)).length
  const ranked = answers.filter(({ revision }) => revision > 0).sort((left, right) => right.revision - left.revision)
  return {
    isComplete: upToDateReplicas >= Math.min(replicas.filter((address) => address !== localAddress).length, Math.floor(replicas.length / 2) + 1),
    sources: ranked.map(({ address }) => address),
    revision: ranked[0]?.revision ?? 0
  }
}
