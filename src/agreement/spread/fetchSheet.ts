import type { CallPeer } from '../../transport/CallPeer.js'
import { PeerMethod } from '../../types/PeerMethod.js'
import type { FetchReply } from './FetchReply.js'
import type { FetchRequest } from './FetchRequest.js'
import type { StoredSheet } from './StoredSheet.js'

/**
 * Fetches the sheet in force at a host, part by part.
 *
 * @param callPeer - calls the host
 * @param address - its peer address
 * @param partTimeoutMilliseconds - wait for each part
 * @param firstReply - the answer to a call for the first part, if it was made already
 * @returns the sheet, undefined if the host has none
 */
export async function fetchSheet (callPeer: CallPeer, address: string, partTimeoutMilliseconds: number, firstReply?: FetchReply): Promise<StoredSheet | undefined> {
  let revision = 0
  let packedContent = ''
  let availableReply = firstReply
  for (;;) {
    const request: FetchRequest = { offset: packedContent.length }
    const reply = availableReply ?? await callPeer<FetchReply>(address, PeerMethod.FetchSheet, request, partTimeoutMilliseconds)
    availableReply = undefined
    if (reply.sheet === undefined) return undefined
    const isRestarted = packedContent !== '' && reply.sheet.revision !== revision
    revision = reply.sheet.revision
    packedContent = isRestarted ? '' : packedContent + reply.data
    if (!isRestarted && packedContent.length >= reply.totalCharacters) return { sheet: reply.sheet, packedContent }
    if (!isRestarted && reply.data === '') return undefined
  }
}
