import { gzipSync } from 'node:zlib'
import { SheetSpreader } from '../../../src/agreement/spread/SheetSpreader.js'
import type { SpreadPeer } from '../../../src/agreement/spread/SpreadPeer.js'
import { Counters } from '../../../src/observe/Counters.js'
import type { Log } from '../../../src/observe/Log.js'
import type { HostIdentity } from '../../../src/types/HostIdentity.js'
import { MemoryFiles } from './MemoryFiles.js'
import type { SheetCluster } from './SheetCluster.js'

const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} }

/** A host in a test, with or without a replica. */
export interface SpreadHost {
  identity: HostIdentity
  spreader: SheetSpreader
  counters: Counters
  files: MemoryFiles
  /** Revisions in the order in which they came into force. */
  appliedRevisions: number[]
  whenStarted: Promise<unknown>
}

/** Hosts in several failure domains with a cluster of replicas. The first hosts have the replicas. */
export class SpreadCluster {
  readonly hosts: SpreadHost[] = []
  readonly #cluster: SheetCluster
  readonly #domainCount: number
  readonly #hostCount: number

  constructor (cluster: SheetCluster, hostCount: number, domainCount: number) {
    this.#cluster = cluster
    this.#hostCount = hostCount
    this.#domainCount = domainCount
    for (let number = 0; number < hostCount; number += 1) this.startHost(number)
  }

  getHost (number: number): SpreadHost {
    return this.hosts[number] as SpreadHost
  }

  /** Starts or restarts a host. */
  startHost (number: number, files = new MemoryFiles(this.#cluster.random), withDisk = false): SpreadHost {
    const identity = this.#createIdentity(number)
    const replica = this.#cluster.hosts[number]
    const { callPeer, registerHandler } = replica ?? this.#cluster.network.addHost(identity.peerAddress)
    const counters = new Counters()
    const appliedRevisions: number[] = []
    const spreader = new SheetSpreader({
      identity,
      callPeer,
      registerHandler,
      replicaAddresses: () => this.#cluster.listAddresses(),
      domainPeers: () => this.#listPeers(number, true),
      otherPeers: () => this.#listPeers(number, false),
      isCurrent: replica === undefined ? undefined : () => replica.replicatedLog.status().isCurrent,
      folder: withDisk ? '/sheet' : undefined,
      files,
      random: this.#cluster.random,
      log: silentLog,
      counters,
      pack: async (content) => gzipSync(content).toString('base64')
    })
    spreader.onSheet(({ revision }) => appliedRevisions.push(revision))
    replica?.registry.onAccepted((sheet) => { spreader.offer(sheet) })
    const host = { identity, spreader, counters, files, appliedRevisions, whenStarted: spreader.start() }
    this.hosts[number] = host
    return host
  }

  stopHost (number: number): void {
    this.getHost(number).spreader.stop()
    this.#cluster.network.removeHost(this.getHost(number).identity.peerAddress)
  }

  /** @returns peer addresses of the hosts of some failure domains */
  listDomainAddresses (domainNames: string[]): string[] {
    return this.hosts.filter(({ identity }) => domainNames.includes(identity.domain)).map(({ identity }) => identity.peerAddress)
  }

  /** @returns whether a sheet is in force at all given hosts */
  isInForce (number: number, hosts = this.hosts): boolean {
    return hosts.every(({ spreader }) => spreader.current()?.number === number)
  }

  #createIdentity (number: number): HostIdentity {
    const peerAddress = this.#cluster.hosts[number]?.address ?? `127.1.${number >> 8}.${number & 255}:7000`
    const domain = number % this.#domainCount
    return { name: `host-${number}`, domain: `domain-${domain}`, region: `region-${domain % 3}`, peerAddress, guestAddress: '' }
  }

  #listPeers (number: number, sameDomain: boolean): SpreadPeer[] {
    const peers: SpreadPeer[] = []
    for (let other = 0; other < this.#hostCount; other += 1) {
      if (other === number || (other % this.#domainCount === number % this.#domainCount) !== sameDomain) continue
      const { name, peerAddress } = this.#createIdentity(other)
      peers.push({ name, address: peerAddress, sheetNumber: 0 })
    }
    return peers
  }
}
