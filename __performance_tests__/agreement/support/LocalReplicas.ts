import { rm } from 'node:fs/promises'
import { join } from 'node:path'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createSheetReplica, type SheetReplica } from '../../../src/agreement/sheets/createSheetReplica.js'
import { diskFiles } from '../../../src/agreement/storage/diskFiles.js'
import { pause } from '../../../src/utils/pause.js'
import { PeerCallError } from '../../../src/errors/PeerCallError.js'
import { Counters } from '../../../src/observe/Counters.js'
import type { Log } from '../../../src/observe/Log.js'
import type { CallPeer } from '../../../src/transport/CallPeer.js'
import type { PeerHandler } from '../../../src/transport/PeerHandler.js'
import type { PeerMethod } from '../../../src/types/PeerMethod.js'

const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} }
const SAME_REGION_DELAY_MILLISECONDS = 0.5
const POLL_MILLISECONDS = 5
/** Region of each replica: 2 + 2 + 1. */
const REPLICA_REGIONS = [0, 0, 1, 1, 2]

/** @returns generator of numbers from 0 up to but not including 1; equal seeds give equal sequences */
export function createSeededRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}

/** Five replicas in this process, with files on disk and delayed calls between them. */
export class LocalReplicas {
  readonly replicas: SheetReplica[] = []
  /** Counters shared by all replicas. */
  readonly counters = new Counters()
  /** Length of the requests and answers sent between replicas, as JSON. */
  sentBytes = 0
  readonly #folder: string
  readonly #random: () => number
  readonly #regionDelayMilliseconds: number
  readonly #handlers = new Map<string, Map<PeerMethod, PeerHandler<object, unknown>>>()

  /**
   * @param folder - folder of the replica files
   * @param seed - seed of the random numbers
   * @param regionDelayMilliseconds - one-way delay between regions
   */
  constructor (folder: string, seed: number, regionDelayMilliseconds: number) {
    this.#folder = folder
    this.#random = createSeededRandom(seed)
    this.#regionDelayMilliseconds = regionDelayMilliseconds
  }

  /** Starts all replicas, forms the group and waits for a leader. */
  async start (): Promise<void> {
    for (let number = 0; number < REPLICA_REGIONS.length; number += 1) await this.openReplica(number)
    await this.#getReplica(0).replicatedLog.bootstrap(REPLICA_REGIONS.map((_, number) => this.#getAddress(number)))
    await this.waitForLeader()
  }

  /** Starts a replica with the files in its folder. */
  async openReplica (number: number): Promise<SheetReplica> {
    const handlers = new Map<PeerMethod, PeerHandler<object, unknown>>()
    const address = this.#getAddress(number)
    this.#handlers.set(address, handlers)
    const replica = createSheetReplica({
      folder: this.getReplicaFolder(number),
      files: diskFiles,
      address,
      callPeer: this.#createCallPeer(number),
      registerHandler: (method, handler) => { handlers.set(method, handler as PeerHandler<object, unknown>) },
      random: this.#random,
      makeIdentity: () => `replica-${number}`,
      log: silentLog,
      counters: this.counters
    })
    this.replicas[number] = replica
    await replica.replicatedLog.open()
    replica.replicatedLog.start()
    return replica
  }

  /** Stops a replica, after handing over the leadership if requested. Calls to it fail from then on. */
  async closeReplica (number: number, shouldHandOver = false): Promise<void> {
    if (shouldHandOver) await this.#getReplica(number).replicatedLog.handOver()
    this.#handlers.delete(this.#getAddress(number))
    await this.#getReplica(number).replicatedLog.stop()
  }

  getReplicaFolder (number: number): string {
    return join(this.#folder, `replica-${number}`)
  }

  /** Waits until a replica leads with a quorum, and returns its number. */
  async waitForLeader (): Promise<number> {
    for (;;) {
      const leader = this.replicas.findIndex(({ replicatedLog }) => replicatedLog.status().hasQuorum)
      if (leader !== -1) return leader
      await pause(POLL_MILLISECONDS)
    }
  }

  /** Stops all replicas and deletes their files. */
  async destroy (): Promise<void> {
    await Promise.all([...this.#handlers.keys()].map((address) => this.closeReplica(Number(address.split(':')[1]))))
    await rm(this.#folder, { recursive: true, force: true })
  }

  #getReplica (number: number): SheetReplica {
    return this.replicas[number] as SheetReplica
  }

  #getAddress (number: number): string {
    return `127.0.0.1:${number}`
  }

  #createCallPeer (from: number): CallPeer {
    return async <Result>(address: string, method: PeerMethod, parameters: object, timeoutMilliseconds: number) => {
      const answer = this.#exchange(from, Number(address.split(':')[1]), address, method, parameters)
      return await Promise.race([answer, rejectAfter(address, timeoutMilliseconds)]) as Result
    }
  }

  async #exchange (from: number, to: number, address: string, method: PeerMethod, parameters: object): Promise<unknown> {
    const request = JSON.stringify(parameters)
    await this.#delayMessage(from, to, request)
    const handler = this.#handlers.get(address)?.get(method)
    if (handler === undefined) throw new PeerCallError('no such replica', address, false)
    const answer = JSON.stringify(await handler(JSON.parse(request) as object) ?? null)
    await this.#delayMessage(to, from, answer)
    return JSON.parse(answer)
  }

  async #delayMessage (from: number, to: number, message: string): Promise<void> {
    if (from === to) return
    this.sentBytes += message.length
    await pause(REPLICA_REGIONS[from] === REPLICA_REGIONS[to] ? SAME_REGION_DELAY_MILLISECONDS : this.#regionDelayMilliseconds)
  }
}

async function rejectAfter (address: string, milliseconds: number): Promise<never> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds).unref() })
  throw new PeerCallError('timeout', address, false)
}
