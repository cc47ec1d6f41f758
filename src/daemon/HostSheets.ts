import { join } from 'node:path'
import {
  createSheetReplica, digestOf, diskFiles, parseSheet, proposeToReplicas, recoverSheets, SheetSpreader, SheetSubmitter, Step,
  type AcceptedSheet, type CheckedSheet, type Counters, type HostIdentity, type Log, type Member, type RegisterPeerHandler, type Settings, type Sheet, type SheetCheck, type SheetInForce, type SheetReplica, type SheetSubmission, type SpreadPeer, type SubmitAnswer, type HostTransport
} from '../hibiscusrelay.js'
import { randomUUID } from 'node:crypto'

/** Dependencies of {@link HostSheets}. */
export interface HostSheetsOptions {
  settings: Settings
  transport: HostTransport
  /** Other hosts that can be reached, with their details. */
  otherMembers: () => Member[]
  counters: Counters
  log: Log
}

/** Sheet components of one host: its replica if it has a data folder, and the spreader that fetches accepted sheets. */
export class HostSheets {
  readonly replica: SheetReplica | undefined
  readonly #options: HostSheetsOptions
  readonly #spreader: SheetSpreader
  readonly #submitter: SheetSubmitter
  readonly #listeners = new Set<(sheet: Sheet) => void>()
  #current: Sheet | undefined
  #lastValidSheet: CheckedSheet | undefined

  /** @param options - settings, transport and membership */
  constructor (options: HostSheetsOptions) {
    this.#options = options
    const { counters, log, transport } = options
    this.replica = this.#createReplica()
    this.#submitter = new SheetSubmitter({ propose: (entry) => proposeToReplicas(transport.callPeer, this.listReplicaAddresses(), entry), counters, log })
    this.#spreader = this.#createSpreader()
    this.#spreader.onSheet((sheet) => { this.#activateSheet(sheet) })
    this.replica?.registry.onAccepted((sheet) => { this.#spreader.offer(sheet).catch((cause) => { this.#logFailure('sheet-not-offered', cause) }) })
  }

  /** @returns the sheet in force on this host, undefined before the first */
  getCurrentSheet (): Sheet | undefined {
    return this.#current
  }

  /** @returns content and revision of the sheet in force on this host, undefined before the first */
  getSheetInForce (): SheetInForce | undefined {
    return this.#spreader.current()
  }

  /** Calls the listener with each sheet that comes into force on this host. */
  onChange (listener: (sheet: Sheet) => void): void {
    this.#listeners.add(listener)
  }

  /** Opens and starts the replica; if that fails, the failure is logged and the host continues without a replica until its disk works. */
  async open (): Promise<void> {
    if (this.replica === undefined) return
    try {
      await this.replica.replicatedLog.open()
    } catch (cause) {
      this.#logFailure('replica-not-started', cause)
    }
    this.replica.replicatedLog.start()
  }

  /** Fetches the newest accepted sheet and follows later ones. */
  async start (): Promise<void> {
    await this.#spreader.start()
  }

  /** Stops the spreader, hands over the leadership of the replica and stops the replica. */
  async stop (): Promise<void> {
    this.#spreader.stop()
    await this.replica?.replicatedLog.handOver()
    await this.replica?.replicatedLog.stop()
  }

  /** Must be called when the membership has changed. */
  applyMemberUpdates (): void {
    this.#spreader.notice()
  }

  /** Parses and checks a sheet. The last valid sheet is cached, since it is likely to come into force next. */
  checkSheet (content: string): SheetCheck {
    const digest = digestOf(content)
    if (this.#lastValidSheet?.digest === digest) return { sheet: this.#lastValidSheet, faults: [] }
    const result = parseSheet(content)
    this.#lastValidSheet = result.sheet ?? this.#lastValidSheet
    return result
  }

  /** Submits a checked sheet through the local replica, or to the replicas of other hosts when this host has none. */
  async submit (submission: SheetSubmission): Promise<SubmitAnswer> {
    if (this.replica !== undefined) return await this.replica.registry.submit(submission)
    return await this.#submitter.submit(submission)
  }

  /**
   * Continues with the replica of this host alone after the permanent loss of a majority of the replicas.
   *
   * @param identity - identity of the replica of this host, as confirmation
   * @returns the newest accepted sheet after the recovery, undefined when no host holds one or this host has no replica
   */
  async recover (identity: string): Promise<AcceptedSheet | undefined> {
    const { settings, transport } = this.#options
    if (this.replica === undefined) return undefined
    const hostAddresses = [settings.host, ...settings.peers].map((host) => host.peerAddress)
    return await recoverSheets({ replica: this.replica, identity, callPeer: transport.callPeer, hostAddresses })
  }

  /** @returns peer addresses of the replicas, nearest first */
  listReplicaAddresses (): string[] {
    const { settings } = this.#options
    const localReplicas = settings.dataFolder === undefined ? [] : [settings.host]
    const replicas: HostIdentity[] = [...localReplicas, ...settings.peers.filter((peer) => peer.replica)]
    const getDistance = (host: HostIdentity): number => host.domain === settings.host.domain ? 0 : host.region === settings.host.region ? 1 : 2
    return replicas.sort((left, right) => getDistance(left) - getDistance(right)).map((host) => host.peerAddress)
  }

  #createReplica (): SheetReplica | undefined {
    const { settings, transport, counters, log } = this.#options
    if (settings.dataFolder === undefined) return undefined
    return createSheetReplica({
      folder: join(settings.dataFolder, 'replica'),
      files: diskFiles,
      address: settings.host.peerAddress,
      replicaAddresses: () => this.listReplicaAddresses(),
      callPeer: transport.callPeer,
      registerHandler: transport.registerHandler,
      random: Math.random,
      makeIdentity: randomUUID,
      counters,
      log
    })
  }

  #createSpreader (): SheetSpreader {
    const { settings, transport, otherMembers, counters, log } = this.#options
    const { domain } = settings.host
    const registerHandler: RegisterPeerHandler = transport.registerHandler
    const currencyOptions = this.replica === undefined ? {} : { isCurrent: () => this.replica!.replicatedLog.status().isCurrent }
    const folderOptions = settings.dataFolder === undefined ? {} : { folder: join(settings.dataFolder, 'sheet') }
    return new SheetSpreader({
      identity: settings.host,
      callPeer: transport.callPeer,
      registerHandler,
      replicaAddresses: () => this.listReplicaAddresses(),
      domainPeers: () => listSpreadPeers(otherMembers().filter((member) => member.host.domain === domain)),
      otherPeers: () => listSpreadPeers(otherMembers().filter((member) => member.host.domain !== domain)),
      files: diskFiles,
      random: Math.random,
      counters,
      log,
      ...currencyOptions,
      ...folderOptions
    })
  }

  #activateSheet ({ number, digest, content }: SheetInForce): void {
    if (number <= (this.#current?.number ?? 0)) return
    const { sheet } = this.checkSheet(content)
    if (sheet === undefined || digestOf(content) !== digest) {
      this.#logFailure('sheet-not-readable', `number ${number}`)
      return
    }
    this.#current = sheet
    for (const listener of this.#listeners) listener(sheet)
  }

  #logFailure (event: string, cause: unknown): void {
    this.#options.log.error(event, { step: Step.Spread, cause: String(cause) })
  }
}

function listSpreadPeers (members: Member[]): SpreadPeer[] {
  return members.map(({ host, details }) => ({ name: host.name, address: host.peerAddress, sheetNumber: details.sheetNumber }))
}
