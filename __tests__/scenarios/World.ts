import { mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { RunLine } from '../standins/RunLine.js'
import { composeSettingsFile, type SettingsPaths } from '../../examples/composeSettingsFile.js'
import { ChildProcess } from './ChildProcess.js'
import type { SheetContent } from './composeSheet.js'
import { Forwarder } from './Forwarder.js'
import type { ScenarioHost } from './ScenarioHost.js'
import type { ScenarioLoad } from './ScenarioLoad.js'
import { callOperator, type OperatorReply } from './callOperator.js'
import { reserveNetwork, type ReservedNetwork } from './reserveNetwork.js'
import { waitUntil } from '../standins/waitUntil.js'
import { isListening } from './isListening.js'
import type { Submission } from './Submission.js'
import type { ScenarioUpstream } from './ScenarioUpstream.js'

const DAEMON_SCRIPT = 'build/src/daemon/main.js'
const PEER_PORT = 7100
const GUEST_PORT = 7200
const OPERATOR_PORT = 7300
const FIRST_FORWARDER_PORT = 20_000
const LISTEN_TIMEOUT_MILLISECONDS = 20_000
export const OPERATOR_TOKEN = 'scenario-operator-token'

/** State of one scenario run: processes, forwarders, loads and their records. */
export class World {
  readonly folder = mkdtempSync(join(tmpdir(), 'scenario-'))
  readonly hosts = new Map<string, ScenarioHost>()
  readonly upstreams = new Map<string, ScenarioUpstream>()
  readonly loads = new Map<string, ScenarioLoad>()
  readonly submissions = new Map<string, Submission>()
  /** Region of each failure domain, in the order of the file. */
  readonly regionsByDomain = new Map<string, string>()
  /** Keys and values of the timings section in the settings file of every host. */
  readonly timings = new Map<string, string>()
  /** Names of hosts by alias; steps assign aliases while the scenario runs. */
  readonly aliases = new Map<string, string>()
  /** Lines of the report. */
  readonly notes: string[] = []
  readonly network: ReservedNetwork
  sheet: SheetContent = { number: 0, classesByService: new Map(), regionsByDomain: this.regionsByDomain, drainingPlaces: [], capRequestsPerSecond: 100_000, capOverrides: new Map(), linkMegabitsPerSecond: 280 }
  seed = 1
  /** Whether hosts connect to each other without forwarders, so that their connections cannot be cut or delayed. */
  hasDirectConnections = false
  readonly #forwarders = new Map<string, Forwarder>()

  private constructor (network: ReservedNetwork) {
    this.network = network
    mkdirSync(join(this.folder, 'runs'))
    writeFileSync(join(this.folder, 'peer.key'), 'scenario-peer-key-of-forty-characters-000\n')
    writeFileSync(join(this.folder, 'operators'), `scenario:${OPERATOR_TOKEN}\n`)
  }

  /** Reserves a loopback network and creates a folder for one run. */
  static async create (): Promise<World> {
    return new World(await reserveNetwork())
  }

  /** Path of the folder with the run logs of the stand-in upstreams. */
  get runLogFolder (): string {
    return join(this.folder, 'runs')
  }

  /** Adds a host and creates its folder, without starting its process. */
  addHost (name: string, domain: string, region: string, hasDisk: boolean): void {
    const folder = join(this.folder, name)
    mkdirSync(folder)
    const childProcess = new ChildProcess(name, DAEMON_SCRIPT, [join(folder, 'host.ini')], join(folder, 'output.log'))
    childProcess.onStart = () => { this.#openForwarders(name).catch(() => {}) }
    childProcess.onExit = () => { this.#refuseConnections(name) }
    const ip = `127.${this.network.number}.${this.findDomainNumber(domain)}.${this.hosts.size + 1}`
    this.hosts.set(name, {
      name,
      domain,
      region,
      hasDisk,
      folder,
      peerAddress: `${ip}:${PEER_PORT}`,
      guestAddress: `${ip}:${GUEST_PORT}`,
      operatorAddress: `${ip}:${OPERATOR_PORT}`,
      process: childProcess
    })
  }

  /** @returns the number of a failure domain in the order of the file, from 1 */
  findDomainNumber (domain: string): number {
    return [...this.regionsByDomain.keys()].indexOf(domain) + 1
  }

  /** Creates the forwarders between all hosts and writes their settings files. */
  prepareHosts (): void {
    const hosts = [...this.hosts.values()]
    for (const host of hosts) {
      const peers = hosts.filter((peer) => peer !== host)
      for (const peer of this.hasDirectConnections ? [] : peers) this.#createForwarder(host, peer)
      const dialAddresses = new Map(peers.map((peer) => [peer.name, this.findForwarder(host.name, peer.name)?.address ?? peer.peerAddress]))
      writeFileSync(join(host.folder, 'host.ini'), composeSettingsFile(host, peers, composeSettingsPaths(host), { dialAddresses, timings: this.timings }))
    }
  }

  /** @returns the forwarder of the connections from one host to another, undefined if they connect directly */
  findForwarder (from: string, to: string): Forwarder | undefined {
    return this.#forwarders.get(`${from} ${to}`)
  }

  /** @returns the hosts that a word selects: one by name or alias, all of a failure domain or region, or `all` */
  selectHosts (word: string): ScenarioHost[] {
    const name = this.aliases.get(word) ?? word
    const selected = [...this.hosts.values()].filter((host) => [host.name, host.domain, host.region, 'all'].includes(name))
    if (selected.length === 0) throw new Error(`no host, failure domain or region is named ${word}`)
    return selected
  }

  /** @returns the processes that a word selects: upstreams by name or `SERVICE@DOMAIN`, or else hosts */
  selectProcesses (word: string): ChildProcess[] {
    const upstreams = [...this.upstreams.values()].filter((upstream) => [upstream.name, `${upstream.settings.service}@${upstream.domain}`].includes(word))
    return upstreams.length > 0 ? upstreams.map((upstream) => upstream.process) : this.selectHosts(word).map((host) => host.process)
  }

  /** Calls a host's operator interface with the operator token. */
  async callOperator (host: ScenarioHost, method: 'GET' | 'POST', path: string, body?: string): Promise<OperatorReply> {
    return await callOperator(host.operatorAddress, OPERATOR_TOKEN, method, path, body)
  }

  /** @returns all lines of all run logs */
  readRunLines (): RunLine[] {
    return readdirSync(this.runLogFolder).flatMap((file) => {
      const text = readFileSync(join(this.runLogFolder, file), 'utf8')
      return text.split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as RunLine)
    })
  }

  /** Kills all processes, closes all forwarders, releases the network, and removes the folder unless it is to be kept. */
  async close (isFolderKept: boolean): Promise<void> {
    const processes = [...this.hosts.values(), ...this.upstreams.values()].map((entry) => entry.process)
    await Promise.all(processes.map(async (process) => { await process.kill() }))
    for (const forwarder of this.#forwarders.values()) forwarder.close()
    this.network.release()
    if (!isFolderKept) rmSync(this.folder, { recursive: true, force: true })
  }

  /** Opens the forwarders to a host once it listens; until then they refuse connections. */
  async #openForwarders (name: string): Promise<void> {
    const host = this.hosts.get(name)
    if (host === undefined) return
    await waitUntil(async () => !host.process.isRunning || await isListening(host.peerAddress), LISTEN_TIMEOUT_MILLISECONDS)
    if (!host.process.isRunning) return
    await Promise.all(this.#findForwardersTo(name).map(async (forwarder) => { await forwarder.open() }))
  }

  #refuseConnections (name: string): void {
    for (const forwarder of this.#findForwardersTo(name)) forwarder.refuseConnections()
  }

  #findForwardersTo (name: string): Forwarder[] {
    return [...this.hosts.keys()].flatMap((from) => this.findForwarder(from, name) ?? [])
  }

  #createForwarder (from: ScenarioHost, to: ScenarioHost): void {
    const port = FIRST_FORWARDER_PORT + this.#forwarders.size
    const forwarder = new Forwarder(`127.${this.network.number}.250.1:${port}`, to.peerAddress)
    this.#forwarders.set(`${from.name} ${to.name}`, forwarder)
  }
}

function composeSettingsPaths ({ folder }: ScenarioHost): SettingsPaths {
  return { dataFolder: join(folder, 'data'), peerKeyFile: '../peer.key', operatorTokensFile: '../operators' }
}
