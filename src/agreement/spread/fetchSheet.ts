import type { CallPeer } from '../../transport/CallPeer.js'
import { PeerMethod } from '../../types/PeerMethod.js'
import type { FetchReply } from './FetchReply.js'
import type { FetchRequest } from './FetchRequest.js'
import type { StoredSheet } from './StoredSheet.js'

/**
 * Fetches the full sheet in force at a host, part by part; starts again when a newer sheet comes into force there meanwhile.
 *
 * @param callPeer - calls a peer method
 * @param address - peer address of the host, `ip:port`
 * @param partTimeoutMilliseconds - timeout of the call for each part
 * @param firstReply - answer to a call for the first part, if it was already made
 * @returns the sheet, undefined if the host has none or stops sending before the end
 * @throws PeerCallError when a call fails
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
