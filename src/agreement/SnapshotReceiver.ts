import { ReplicaRefusedError } from '../errors/ReplicaRefusedError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { Step } from '../types/Step.js'
import { checkCall } from './checkCall.js'
import type { SnapshotChunkReply } from './messages/SnapshotChunkReply.js'
import type { SnapshotChunkRequest } from './messages/SnapshotChunkRequest.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { ReplicaRole } from './ReplicaRole.js'
import type { Snapshot } from './Snapshot.js'
import { decodeFrame } from './storage/decodeFrame.js'

/** Collects the chunks of a leader's snapshot and installs the complete snapshot. */
export class SnapshotReceiver {
  readonly #core: ReplicaCore
  #transferKey = ''
  #chunks: Buffer[] = []
  #receivedBytes = 0
  #isInstalling = false

  /** @param core - the replica */
  constructor (core: ReplicaCore) {
    this.#core = core
  }

  /** Answers a call with one chunk of a snapshot. */
  async handleChunk (request: SnapshotChunkRequest): Promise<SnapshotChunkReply> {
    const core = this.#core
    checkCall(core, request)
    if (request.term < core.term) return { term: core.term, nextOffset: 0, installed: false }
    if (core.role !== ReplicaRole.Empty) core.recordLeaderContact(request.term, request.sender)
    if (this.#isAlreadyApplied(request)) {
      await core.storage.drainLog()
      return { term: request.term, nextOffset: request.totalBytes, installed: true }
    }
    this.#collectChunk(request)
    if (this.#receivedBytes < request.totalBytes) return { term: request.term, nextOffset: this.#receivedBytes, installed: false }
    await this.#installExclusively(request)
    return { term: request.term, nextOffset: request.totalBytes, installed: true }
  }

  #isAlreadyApplied ({ position }: SnapshotChunkRequest): boolean {
    return this.#core.role !== ReplicaRole.Empty && position.index <= this.#core.commitIndex
  }

  #collectChunk (request: SnapshotChunkRequest): void {
    const transferKey = [request.sender, request.term, request.position.index, request.totalBytes].join(' ')
    const { maximumSnapshotBytes } = this.#core.limits
    if (request.totalBytes > maximumSnapshotBytes) {
      throw new ReplicaRefusedError(errorTexts.snapshotTooLarge(request.totalBytes, maximumSnapshotBytes), Step.Snapshot, request.sender)
    }
    if (transferKey !== this.#transferKey) this.#resetTransfer(transferKey)
    if (request.offset !== this.#receivedBytes) {
      this.#core.options.counters.increment(ReplicaCounter.SnapshotRetried)
      return
    }
    const chunk = Buffer.from(request.data, 'base64')
    this.#chunks.push(chunk)
    this.#receivedBytes += chunk.length
  }

  #resetTransfer (transferKey: string): void {
    this.#transferKey = transferKey
    this.#chunks = []
    this.#receivedBytes = 0
  }

  async #installExclusively (request: SnapshotChunkRequest): Promise<void> {
    if (this.#isInstalling) throw new ReplicaRefusedError(errorTexts.snapshotInstallationRunning(), Step.Snapshot, request.sender)
    this.#isInstalling = true
    const file = Buffer.concat(this.#chunks)
    this.#resetTransfer('')
    try {
      await this.#install(file, request)
    } finally {
      this.#isInstalling = false
    }
  }

  async #install (file: Buffer, request: SnapshotChunkRequest): Promise<void> {
    const core = this.#core
    const frame = decodeFrame(file, 0)
    if (frame === undefined) throw new ReplicaRefusedError(errorTexts.snapshotCorrupt(), Step.Snapshot, request.sender)
    const snapshot = JSON.parse(frame.payload.toString()) as Snapshot
    if (core.role !== ReplicaRole.Empty) await core.installSnapshot(snapshot, file)
    // Another join has ended instead, and the leader sends what this replica still lacks.
    else if (!await core.joinGroup(snapshot, request.term)) throw new ReplicaRefusedError(errorTexts.snapshotInstallationRunning(), Step.Snapshot, request.sender)
    core.options.counters.increment(ReplicaCounter.SnapshotInstalled)
    core.options.log.info('snapshot-installed', { step: Step.Snapshot, peer: request.sender, index: snapshot.position.index, bytes: file.length })
  }
}
