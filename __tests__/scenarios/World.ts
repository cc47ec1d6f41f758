import { mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { RunLine } from '../standins/RunLine.js'
import { composeSettingsFile, type SettingsPaths } from '../../examples/composeSettingsFile.js'
import { ChildProcess } from './ChildProcess.js'
import type { SheetContent } from './composeSheet.js'
import { Forwarder } from './Forwarder.js'
import type { HostEntry } from './HostEntry.js'
import type { LoadEntry } from './LoadEntry.js'
import { callOperator, type OperatorReply } from './OperatorCaller.js'
import { reserveNetwork, type ReservedNetwork } from './reserveNetwork.js'
import { waitUntil } from '../standins/waitUntil.js'
import { isListening } from './isListening.js'
import type { SubmitEntry } from './SubmitEntry.js'
import type { UpstreamEntry } from './UpstreamEntry.js'

const DAEMON_SCRIPT = 'build/src/daemon/main.js'
const PEER_PORT = 7100
const GUEST_PORT = 7200
const OPERATOR_PORT = 7300
const FIRST_FORWARDER_PORT = 20_000
const LISTEN_BOUND_MILLISECONDS = 20_000
export const OPERATOR_TOKEN = 'scenario-operator-token'

/** Everything that a scenario has set up: processes, forwarders, loads and their records. */
export class World {
  readonly folder = mkdtempSync(join(tmpdir(), 'scenario-'))
  readonly hosts = new Map<string, HostEntry>()
  readonly upstreams = new Map<string, UpstreamEntry>()
  readonly loads = new Map<string, LoadEntry>()
  readonly submits = new Map<string, SubmitEntry>()
  /** Region of each failure domain, in the order of the file. */
  readonly domains = new Map<string, string>()
  /** Keys and values of the timings section of every host. */
  readonly timings = new Map<string, string>()
  /** Other names of hosts, given while the scenario runs. */
  readonly aliases = new Map<string, string>()
  readonly notes: string[] = []
  readonly network: ReservedNetwork
  sheet: SheetContent = { number: 0, services: new Map(), domains: this.domains, draining: [], capRequestsPerSecond: 100_000, caps: new Map(), linkMegabitsPerSecond: 280 }
  seed = 1
  /** Whether hosts connect to each other without forwarders, so that nothing between them can be cut or delayed. */
  connectsDirectly = false
  readonly #forwarders = new Map<string, Forwarder>()

  private constructor (network: ReservedNetwork) {
    this.network = network
    mkdirSync(join(this.folder, 'runs'))
    writeFileSync(join(this.folder, 'peer.key'), 'scenario-peer-key-of-forty-characters-000\n')
    writeFileSync(join(this.folder, 'operators'), `scenario:${OPERATOR_TOKEN}\n`)
  }

  /** Reserves addresses and a folder for one run. */
  static async create (): Promise<World> {
    return new World(await reserveNetwork())
  }

  /** Path of the stand-in upstreams' run logs. */
  get runFolder (): string {
    return join(this.folder, 'runs')
  }

  /** Adds a host. */
  addHost (name: string, domain: string, region: string, hasDisk: boolean): void {
    const folder = join(this.folder, name)
    mkdirSync(folder)
    const process = new ChildProcess(name, DAEMON_SCRIPT, [join(folder, 'host.ini')], join(folder, 'output.log'))
    process.onStart = () => { this.#openForwarders(name).catch(() => {}) }
    process.onExit = () => { this.#refuseForwarders(name) }
    const ip = `127.${this.network.number}.${this.domainNumber(domain)}.${this.hosts.size + 1}`
    this.hosts.set(name, {
      name,
      domain,
      region,
      hasDisk,
      folder,
      peerAddress: `${ip}:${PEER_PORT}`,
      guestAddress: `${ip}:${GUEST_PORT}`,
      operatorAddress: `${ip}:${OPERATOR_PORT}`,
      process
    })
  }

  /** @returns the number of a failure domain, from 1 */
  domainNumber (domain: string): number {
    return [...this.domains.keys()].indexOf(domain) + 1
  }

  /** Sets up the forwarders between all hosts and writes all settings files. */
  prepare (): void {
    const hosts = [...this.hosts.values()]
    for (const host of hosts) {
      const peers = hosts.filter((peer) => peer !== host)
      for (const peer of this.connectsDirectly ? [] : peers) this.#forward(host, peer)
      const dialAddresses = new Map(peers.map((peer) => [peer.name, this.forwarder(host.name, peer.name)?.address ?? peer.peerAddress]))
      writeFileSync(join(host.folder, 'host.ini'), composeSettingsFile(host, peers, settingsPaths(host), { dialAddresses, timings: this.timings }))
    }
  }

  /** @returns the forwarder that carries the calls of one host to another */
  forwarder (from: string, to: string): Forwarder | undefined {
    return this.#forwarders.get(`${from} ${to}`)
  }

  /** @returns the hosts that a word names: a host, or all hosts of a failure domain or region */
  selectHosts (word: string): HostEntry[] {
    const name = this.aliases.get(word) ?? word
    const found = [...this.hosts.values()].filter((host) => [host.name, host.domain, host.region, 'all'].includes(name))
    if (found.length === 0) throw new Error(`no host, failure domain or region is named ${word}`)
    return found
  }

  /** @returns the processes that a word names */
  selectProcesses (word: string): ChildProcess[] {
    const upstreams = [...this.upstreams.values()].filter((upstream) => [upstream.name, `${upstream.settings.service}@${upstream.domain}`].includes(word))
    return upstreams.length > 0 ? upstreams.map((upstream) => upstream.process) : this.selectHosts(word).map((host) => host.process)
  }

  /** Asks a host's operator interface. */
  async callOperator (host: HostEntry, method: 'GET' | 'POST', path: string, body?: string): Promise<OperatorReply> {
    return await callOperator(host.operatorAddress, OPERATOR_TOKEN, method, path, body)
  }

  /** @returns all lines of all run logs */
  readRuns (): RunLine[] {
    return readdirSync(this.runFolder).flatMap((file) => {
      const text = readFileSync(join(this.runFolder, file), 'utf8')
      return text.split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as RunLine)
    })
  }

  /** Ends every process and forwarder. Keeps the folder when asked to. */
  async close (keepFolder: boolean): Promise<void> {
    const processes = [...this.hosts.values(), ...this.upstreams.values()].map((entry) => entry.process)
    await Promise.all(processes.map(async (process) => { await process.kill() }))
    for (const forwarder of this.#forwarders.values()) forwarder.stop()
    this.network.release()
    if (!keepFolder) rmSync(this.folder, { recursive: true, force: true })
  }

  /** Lets connections through to a host once it listens; until then they are refused. */
  async #openForwarders (name: string): Promise<void> {
    const host = this.hosts.get(name)
    if (host === undefined) return
    await waitUntil(async () => !host.process.running || await isListening(host.peerAddress), LISTEN_BOUND_MILLISECONDS)
    if (!host.process.running) return
    await Promise.all(this.#forwardersTo(name).map(async (forwarder) => { await forwarder.open() }))
  }

  #refuseForwarders (name: string): void {
    for (const forwarder of this.#forwardersTo(name)) forwarder.refuse()
  }

  #forwardersTo (name: string): Forwarder[] {
    return [...this.hosts.keys()].flatMap((from) => this.forwarder(from, name) ?? [])
  }

  #forward (from: HostEntry, to: HostEntry): void {
    const port = FIRST_FORWARDER_PORT + this.#forwarders.size
    const forwarder = new Forwarder(`127.${this.network.number}.250.1:${port}`, to.peerAddress)
    this.#forwarders.set(`${from.name} ${to.name}`, forwarder)
  }
}

function settingsPaths ({ folder }: HostEntry): SettingsPaths {
  return { dataFolder: join(folder, 'data'), peerKeyFile: '../peer.key', operatorTokensFile: '../operators' }
}
