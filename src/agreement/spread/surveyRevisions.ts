import { fetchRevision } from './fetchRevision.js'
import type { SpreaderOptions } from './SpreaderOptions.js'

/** What a starting host heard from the others. */
export interface RevisionSurvey {
  /** Whether a majority of the replicas answered and hears a leader. */
  isComplete: boolean
  /** Hosts that have a sheet, the highest revision first. */
  sources: string[]
  /** The highest revision told, 0 if none. */
  revision: number
}

/**
 * Asks the replicas and the own failure domain for the highest revision.
 *
 * @param options - what the spreader works with
 * @param timeoutMilliseconds - wait for each answer
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
