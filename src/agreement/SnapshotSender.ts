import { ReplicaStorageError } from '../errors/ReplicaStorageError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { Step } from '../types/Step.js'
import { PeerMethod } from '../types/PeerMethod.js'
import type { LogPosition } from './LogPosition.js'
import type { SnapshotChunkReply } from './messages/SnapshotChunkReply.js'
import type { SnapshotChunkRequest } from './messages/SnapshotChunkRequest.js'
import type { PeerProgress } from './PeerProgress.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { Snapshot } from './Snapshot.js'
import { decodeFrame } from './storage/decodeFrame.js'
import { ReplicaFile } from './storage/ReplicaFile.js'

/** Sends the leader's snapshot file to a member that needs entries which are no longer in the log. */
export class SnapshotSender {
  readonly #core: ReplicaCore
  readonly #term: number
  readonly #progress: PeerProgress

  /**
   * @param core - the replica that is the leader
   * @param progress - replication progress of the member
   */
  constructor (core: ReplicaCore, progress: PeerProgress) {
    this.#core = core
    this.#term = core.term
    this.#progress = progress
  }

  /**
   * Sends the full file; on success replication continues with the entry after the snapshot.
   *
   * @throws {@link ReplicaStorageError} when there is no intact snapshot file
   */
  async send (): Promise<void> {
    const file = await this.#core.storage.readSnapshot()
    const frame = file === undefined ? undefined : decodeFrame(file, 0)
    if (file === undefined || frame === undefined) throw new ReplicaStorageError(errorTexts.snapshotMissing(), ReplicaFile.Snapshot)
    const { position } = JSON.parse(frame.payload.toString()) as Snapshot
    this.#core.options.counters.increment(ReplicaCounter.SnapshotSent)
    if (!await this.#sendChunks(file, position)) return
    this.#progress.nextIndex = position.index + 1
    this.#progress.matchIndex = Math.max(this.#progress.matchIndex, position.index)
    this.#core.options.log.info('snapshot-sent', { step: Step.Snapshot, peer: this.#progress.member.address, index: position.index, bytes: file.length })
  }

  async #sendChunks (file: Buffer, position: LogPosition): Promise<boolean> {
    let offset = 0
    while (this.#progress.isActive) {
      const reply = await this.#sendChunk(file, position, offset)
      if (reply.installed) return true
      offset = Math.min(reply.nextOffset, file.length)
    }
    return false
  }

  async #sendChunk (file: Buffer, position: LogPosition, offset: number): Promise<SnapshotChunkReply> {
    const { callPeer } = this.#core.options
    const { member } = this.#progress
    const request: SnapshotChunkRequest = {
      sender: this.#core.identity,
      receiver: member.identity,
      group: this.#core.group ?? '',
      term: this.#term,
      position,
      offset,
      totalBytes: file.length,
      data: file.toString('base64', offset, offset + this.#core.limits.chunkBytes)
    }
    const sentAt = performance.now()
    const timeoutMilliseconds = this.#progress.computeTimeout(request.data.length, this.#core.timings)
    const reply = await callPeer<SnapshotChunkReply>(member.address, PeerMethod.InstallSnapshot, request, timeoutMilliseconds)
    if (reply.term > this.#core.term) this.#core.becomeFollower(reply.term)
    if (reply.term === this.#term) this.#progress.recordAcknowledgement(sentAt)
    return reply
  }
}
