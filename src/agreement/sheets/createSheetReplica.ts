import { isReplicaSpecific } from '../isReplicaSpecific.js'
import type { ProposalAnswer } from '../ProposalAnswer.js'
import { ReplicatedLog } from '../ReplicatedLog.js'
import type { ReplicaOptions } from '../ReplicaOptions.js'
import { proposeToReplicas } from './proposeToReplicas.js'
import type { SheetEntry } from './SheetEntry.js'
import type { SheetLimits } from './SheetLimits.js'
import { SheetRegistry } from './SheetRegistry.js'
import { SheetState } from './SheetState.js'
import { SheetSubmitter } from './SheetSubmitter.js'
import type { StoredSheets } from './StoredSheets.js'
import type { SubmitAnswer } from './SubmitAnswer.js'

/** Options of a replica of the accepted sheets. */
export interface SheetReplicaOptions extends Omit<ReplicaOptions<SheetEntry, SubmitAnswer>, 'apply' | 'snapshot' | 'restore'> {
  /** Limits on the retained sheets; the same on every replica. */
  sheetLimits?: SheetLimits
  /** @returns peer addresses of all replicas, which get the submissions while the local replica is stopped or empty */
  replicaAddresses?: () => string[]
  /** Compresses the content of a submitted sheet. */
  pack?: (content: string) => Promise<string>
}

/** A replica of the accepted sheets. */
export interface SheetReplica {
  /** The log, which the caller must open and start. */
  replicatedLog: ReplicatedLog<SheetEntry, SubmitAnswer>
  registry: SheetRegistry
}

/**
 * @param options - replica options, and limits and compression of the sheets
 * @returns the registry of accepted sheets on a replicated log
 */
export function createSheetReplica (options: SheetReplicaOptions): SheetReplica {
  const state = new SheetState(options.sheetLimits)
  const apply = (entry: SheetEntry): SubmitAnswer => {
    const answer = state.apply(entry)
    registry.announce()
    return answer
  }
  const restore = (stored: unknown): void => {
    state.restore(stored as StoredSheets | undefined)
    registry.announce()
  }
  const replicatedLog = new ReplicatedLog<SheetEntry, SubmitAnswer>({ ...options, apply, restore, snapshot: () => state.snapshot() })
  const { address, callPeer, replicaAddresses = () => [], log, counters, pack } = options
  const propose = async (entry: SheetEntry): Promise<ProposalAnswer<SubmitAnswer>> => {
    const answer = await replicatedLog.propose(entry)
    const otherAddresses = replicaAddresses().filter((replicaAddress) => replicaAddress !== address)
    return isReplicaSpecific(answer.reason) && otherAddresses.length > 0 ? proposeToReplicas(callPeer, otherAddresses, entry) : answer
  }
  const submitter = new SheetSubmitter({ propose, log, counters, pack })
  const registry = new SheetRegistry(state, submitter)
  return { replicatedLog, registry }
}
