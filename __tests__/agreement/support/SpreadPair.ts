import type { TestContext } from 'node:test'
import { gzipSync } from 'node:zlib'
import { digestOf } from '../../../src/agreement/sheets/digestOf.js'
import type { FetchReply } from '../../../src/agreement/spread/FetchReply.js'
import { SheetSpreader } from '../../../src/agreement/spread/SheetSpreader.js'
import { PeerCallError } from '../../../src/errors/PeerCallError.js'
import { Counters } from '../../../src/observe/Counters.js'
import type { CallPeer } from '../../../src/transport/CallPeer.js'
import type { PeerHandler } from '../../../src/transport/PeerHandler.js'
import { PeerMethod } from '../../../src/types/PeerMethod.js'
import { advance, pauseClock } from '../../support/pauseClock.js'
import { MemoryFiles } from './MemoryFiles.js'

const ROW_COUNT = 300
const SETTLE_MILLISECONDS = 6_000

/** A host of a {@link SpreadPair}. */
export interface PairHost {
  spreader: SheetSpreader
  counters: Counters
  files: MemoryFiles
  /** Revisions in the order in which they came into force. */
  appliedRevisions: number[]
  handlers: Map<PeerMethod, PeerHandler<object, unknown>>
}

/** A source host to which the test offers sheets, and a receiver that fetches them over calls that the test may alter or cut. */
export class SpreadPair {
  source: PairHost
  receiver: PairHost
  /** Alters the answers to fetches. */
  alterReply: (reply: FetchReply) => FetchReply | Promise<FetchReply> = (reply) => reply
  isCut = false
  fetchedCharacters = 0
  readonly #context: TestContext

  constructor (context: TestContext) {
    pauseClock(context)
    this.#context = context
    this.source = this.startSource()
    this.receiver = this.startReceiver()
    context.after(() => { [this.source, this.receiver].forEach(({ spreader }) => spreader.stop()) })
  }

  startSource (): PairHost {
    this.source = this.#startHost('source', [])
    return this.source
  }

  startReceiver (files = new MemoryFiles(Math.random)): PairHost {
    this.receiver = this.#startHost('receiver', ['source'], files)
    return this.receiver
  }

  /** Advances the clock, so that a sheet can spread. */
  async settle (milliseconds = SETTLE_MILLISECONDS): Promise<void> {
    await advance(this.#context, milliseconds)
  }

  /** Puts a sheet in force at a host and advances the clock, so that it spreads. */
  async offerAndSettle (number: number, host = this.source): Promise<void> {
    await this.offerWithoutSettling(number, host)
    await this.settle()
  }

  /** Puts a sheet in force at a host. */
  async offerWithoutSettling (number: number, host = this.source): Promise<void> {
    const content = createContent(number)
    await host.spreader.offer({ number, revision: number, digest: digestOf(content), acceptedAt: 0, content })
  }

  #startHost (name: string, replicas: string[], files = new MemoryFiles(Math.random)): PairHost {
    const counters = new Counters()
    const handlers: PairHost['handlers'] = new Map()
    const appliedRevisions: number[] = []
    const spreader = new SheetSpreader({
      identity: { name, domain: 'domain', region: 'region', peerAddress: name, guestAddress: '' },
      callPeer: this.#callSource,
      registerHandler: (method, handler) => { handlers.set(method, handler as PeerHandler<object, unknown>) },
      replicaAddresses: () => replicas,
      domainPeers: () => [],
      otherPeers: () => [],
      folder: '/sheet',
      files,
      random: () => 0.5,
      log: { info: () => {}, warn: () => {}, error: () => {} },
      counters,
      pack: async (content) => gzipSync(content).toString('base64')
    })
    spreader.onSheet(({ revision }) => appliedRevisions.push(revision))
    spreader.start()
    return { spreader, counters, files, appliedRevisions, handlers }
  }

  #callSource: CallPeer = async <Result>(address: string, method: PeerMethod, parameters: object) => {
    const answer = this.isCut ? undefined : await this.source.handlers.get(method)!(JSON.parse(JSON.stringify(parameters)))
    if (answer === undefined || this.isCut) throw new PeerCallError('cut', address, false)
    if (method !== PeerMethod.FetchSheet) return answer as Result
    const text = JSON.stringify(await this.alterReply(structuredClone(answer) as FetchReply))
    this.fetchedCharacters += text.length
    return JSON.parse(text) as Result
  }
}

/** @returns a sheet with a changed row for each number from 1 up to the given one */
export function createContent (number: number): string {
  const rows = Array.from({ length: ROW_COUNT }, (_, index) => `guests,10.0.${index}.0/24,place-${index < number ? index : 0}-${(index * 7919) % 1000}\n`)
  return `sheet,${number}\n${rows.join('')}`
}
