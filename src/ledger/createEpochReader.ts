import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import type { ClaimRecordCopy } from './ClaimRecord.js'
import { EpochState, type MemberIncarnation } from './Epoch.js'
import type { PageParameters, PageReply } from './LedgerMessages.js'

/** All records of one epoch at one other member. */
export interface EpochReading {
  member: string
  incarnations: MemberIncarnation[]
  state: EpochState
  records: ClaimRecordCopy[]
}

/** Reads one epoch from one other member; undefined when that member has no complete records or does not answer. */
export type EpochReader = (address: string, epoch: string, reader: MemberIncarnation) => Promise<EpochReading | undefined>

/**
 * Creates a function that reads the records of an epoch page by page. The result is undefined when the other member
 * restarted between two pages.
 *
 * @param callPeer - calls the other member
 * @param method - `LedgerRecover` to read, `LedgerSeal` to make the member stop accepting claims first
 * @param timeoutMilliseconds - timeout of the call for each page
 */
export function createEpochReader (callPeer: CallPeer, method: PeerMethod, timeoutMilliseconds: number): EpochReader {
  return async (address, epoch, reader) => {
    const records: ClaimRecordCopy[] = []
    let incarnation: number | undefined
    try {
      for (;;) {
        const parameters: PageParameters = { epoch, reader, after: records.at(-1)?.sequence ?? 0 }
        const page = await callPeer<PageReply>(address, method, parameters, timeoutMilliseconds)
        if (page.state === undefined || page.state === EpochState.Recovering) return undefined
        if (incarnation !== undefined && incarnation !== page.member.incarnation) return undefined
        incarnation = page.member.incarnation
        records.push(...page.records)
        if (!page.more) return { member: address, incarnations: page.incarnations, state: page.state, records }
      }
    } catch {
      return undefined
    }
  }
}
