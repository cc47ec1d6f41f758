import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ChildProcess } from '../../__tests__/scenarios/ChildProcess.js'
import { composeSheet } from '../../__tests__/scenarios/composeSheet.js'
import type { ScenarioHost } from '../../__tests__/scenarios/ScenarioHost.js'
import type { StandInSettings } from '../../__tests__/standins/StandInSettings.js'
import { composeSettingsFile } from '../composeSettingsFile.js'

const DAEMON_SCRIPT = 'build/src/daemon/main.js'
const STAND_IN_SCRIPT = 'build/__tests__/standins/main.js'
const DOMAINS = new Map([['oviedo', 'asturias'], ['santander', 'cantabria'], ['bilbao', 'euskadi']])
const HOSTS_PER_DOMAIN = 2
const OPERATOR_TOKEN = 'a-demo-token-of-an-operator'
const PEER_KEY = 'a-demo-key-that-all-hosts-of-the-demo-share'
const CAP_REQUESTS_PER_SECOND = 500
const LINK_MEGABITS_PER_SECOND = 280

/** An upstream process of the demo. */
export interface DemoUpstream {
  service: string
  domain: string
  address: string
  process: ChildProcess
}

/** Small deployment modeled on Megafonía: six hosts in three failure domains and stand-in upstreams, on loopback addresses. */
export class DemoSystem {
  readonly folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-demo-'))
  readonly hosts: ScenarioHost[] = []
  readonly upstreams: DemoUpstream[] = []
  readonly tokenFile = join(this.folder, 'operators')
  readonly sheetFile = join(this.folder, 'sheet-1.csv')

  readonly #networkNumber: number

  /**
   * Writes the sheet, the secrets and the settings files to a new temporary folder.
   *
   * @param networkNumber - second number of the loopback addresses
   */
  constructor (networkNumber: number) {
    this.#networkNumber = networkNumber
    writeFileSync(join(this.folder, 'peer.key'), PEER_KEY)
    writeFileSync(this.tokenFile, `demo:${OPERATOR_TOKEN}\n`)
    writeFileSync(this.sheetFile, composeDemoSheet())
    const domains = [...DOMAINS]
    for (const [index, [domain, region]] of domains.entries()) this.#addDomain(domain, region, index + 1)
    for (const host of this.hosts) this.#writeSettings(host)
  }

  /** Starts the processes of all hosts and upstreams. */
  start (): void {
    for (const { process } of [...this.hosts, ...this.upstreams]) process.start()
  }

  /** Kills all processes that are still running, and removes all files. */
  async close (): Promise<void> {
    await Promise.all([...this.hosts, ...this.upstreams].map(async ({ process }) => { await process.kill() }))
    rmSync(this.folder, { recursive: true })
  }

  #addDomain (domain: string, region: string, domainNumber: number): void {
    for (let index = 1; index <= HOSTS_PER_DOMAIN; index += 1) this.#addHost(domain, region, `127.${this.#networkNumber}.${domainNumber}.${index}`, index)
    const guestAddresses = this.hosts.filter((host) => host.domain === domain).map((host) => host.guestAddress)
    this.#addUpstreams({ service: 'inventario', domain, slots: 7, count: 2, network: `127.${this.#networkNumber}.${domainNumber}`, firstHostNumber: 101, guestAddresses })
    this.#addUpstreams({ service: 'reservas', domain, slots: 3, count: 1, network: `127.${this.#networkNumber}.${domainNumber}`, firstHostNumber: 201, guestAddresses })
  }

  #addHost (domain: string, region: string, ip: string, index: number): void {
    const name = `${domain}-${index}`
    const folder = join(this.folder, name)
    mkdirSync(folder)
    const settings = join(folder, 'host.ini')
    this.hosts.push({
      name,
      domain,
      region,
      hasDisk: domain !== 'bilbao' || index === 1,
      peerAddress: `${ip}:7100`,
      guestAddress: `${ip}:7000`,
      operatorAddress: `${ip}:7200`,
      folder,
      process: new ChildProcess(name, DAEMON_SCRIPT, [settings], join(folder, 'log'))
    })
  }

  #writeSettings (host: ScenarioHost): void {
    const peers = this.hosts.filter((other) => other !== host)
    const paths = { dataFolder: join(host.folder, 'data'), peerKeyFile: '../peer.key', operatorTokensFile: '../operators' }
    writeFileSync(join(host.folder, 'host.ini'), composeSettingsFile(host, peers, paths))
  }

  #addUpstreams (group: { service: string, domain: string, slots: number, count: number, network: string, firstHostNumber: number, guestAddresses: string[] }): void {
    const { service, domain, slots, count, network, firstHostNumber, guestAddresses } = group
    for (let index = 0; index < count; index += 1) {
      const name = `${service}-${domain}-${index + 1}`
      const address = `${network}.${firstHostNumber + index}:8000`
      const settings: Partial<StandInSettings> = { name, service, address, slots, hosts: guestAddresses, runLog: join(this.folder, `${name}.runs`), seed: firstHostNumber + index }
      const process = new ChildProcess(name, STAND_IN_SCRIPT, [JSON.stringify([settings])], join(this.folder, `${name}.log`))
      this.upstreams.push({ service, domain, address, process })
    }
  }
}

function composeDemoSheet (): string {
  return composeSheet({
    number: 1,
    classesByService: new Map([['inventario', 'idempotent'], ['reservas', 'one-time']]),
    regionsByDomain: DOMAINS,
    drainingPlaces: [],
    capRequestsPerSecond: CAP_REQUESTS_PER_SECOND,
    capOverrides: new Map(),
    linkMegabitsPerSecond: LINK_MEGABITS_PER_SECOND
  })
}
