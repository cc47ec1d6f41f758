import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Counters } from '../../src/observe/Counters.js'
import type { GuestAccount } from '../../src/plan/RoutingPlan.js'
import { AccountQuota } from '../../src/quota/AccountQuota.js'
import { DEFAULT_QUOTA_BOUNDS } from '../../src/quota/QuotaBounds.js'
import { QuotaDesk } from '../../src/quota/QuotaDesk.js'
import type { ControlHost } from '../../src/registry/ControlHost.js'
import { MemoryNetwork } from '../membership/MemoryNetwork.js'

export const DOMAINS = ['d0', 'd1', 'd2', 'd3', 'd4', 'd5']
const ENTRY_HOSTS = 94
/** As in the deployment: control hosts of other regions tell of themselves each second, and count as lost after 2.5 s. */
const CONTACT_MILLISECONDS = 1_000
const MAXIMUM_SILENCE_MILLISECONDS = 2_500

interface StandInEntryHost {
  name: string
  domain: string
  quota: AccountQuota
}

/** What became of the requests of one account. */
export interface AccountRecord {
  grantedAt: number[]
  deniedAt: number[]
  unavailableCount: number
}

/** 94 entry hosts and 6 control hosts, one in each failure domain, two domains in a region, on the paused clock. */
export class QuotaCluster {
  readonly network = new MemoryNetwork()
  readonly counters = new Counters()
  readonly entryHosts: StandInEntryHost[] = []
  readonly records = new Map<string, AccountRecord>()
  readonly #desks = new Map<string, QuotaDesk>()
  readonly #contacts = new Map<string, number>()
  readonly #random: () => number
  readonly #timer: NodeJS.Timeout
  #accounts: GuestAccount[]

  constructor (accounts: GuestAccount[], seed: number) {
    const generator = xoroshiro128plus(seed)
    this.#random = () => uniformFloat64(generator)
    this.#accounts = accounts
    this.network.delay = (from, to) => regionOf(from) === regionOf(to) ? 1 : 55
    this.#exchangeContacts()
    this.#timer = setInterval(() => { this.#exchangeContacts() }, CONTACT_MILLISECONDS)
    for (const domain of DOMAINS) this.startControlHost(domain)
    for (let number = 0; number < ENTRY_HOSTS; number += 1) this.entryHosts.push(this.#createEntryHost(number))
  }

  startControlHost (domain: string): void {
    const desk = new QuotaDesk({
      domain,
      listDomains: () => DOMAINS,
      listControlHosts: () => this.#listControlHosts(domain),
      bounds: () => DEFAULT_QUOTA_BOUNDS,
      callPeer: this.network.callPeer(domain),
      registerHandler: this.network.registerHandler(domain),
      counters: this.counters,
      log: { info: () => {}, warn: () => {}, error: () => {} }
    })
    desk.setAccounts(this.#accounts)
    this.#desks.set(domain, desk)
  }

  /** Ends a control host without notice. */
  killControlHost (domain: string): void {
    this.network.kill(domain)
    this.#desks.get(domain)?.stop().catch(() => {})
    this.#desks.delete(domain)
  }

  isRunning (domain: string): boolean {
    return this.#desks.has(domain)
  }

  /** Changes the limits at all hosts at once. */
  setAccounts (accounts: GuestAccount[]): void {
    this.#accounts = accounts
    for (const desk of this.#desks.values()) desk.setAccounts(accounts)
  }

  stop (): void {
    clearInterval(this.#timer)
    for (const domain of DOMAINS) this.killControlHost(domain)
  }

  /** Sends the requests of one account that arrive within a period, spread over entry hosts at random. */
  sendRequests (account: GuestAccount, expectedCount: number, hosts = this.entryHosts): void {
    for (let count = this.#drawCount(expectedCount); count > 0; count -= 1) this.send(account, hosts[Math.floor(this.#random() * hosts.length)]!)
  }

  /** Sends one request to an entry host. */
  send (account: GuestAccount, host: StandInEntryHost): void {
    const record = this.recordOf(account.name)
    host.quota.take(account, new AbortController().signal).then((answer) => {
      if (answer.isGranted) record.grantedAt.push(performance.now())
      else if (answer.isExceeded) record.deniedAt.push(performance.now())
      else record.unavailableCount += 1
    }, () => {})
  }

  recordOf (name: string): AccountRecord {
    const record = this.records.get(name) ?? { grantedAt: [], deniedAt: [], unavailableCount: 0 }
    this.records.set(name, record)
    return record
  }

  /** @returns the maximum number of granted requests in any window */
  findMaximum (name: string, windowMilliseconds: number, since = 0): number {
    const { grantedAt } = this.recordOf(name)
    const times = grantedAt.filter((time) => time >= since)
    let maximum = 0
    let oldest = 0
    times.forEach((time, index) => {
      while (times[oldest]! <= time - windowMilliseconds) oldest += 1
      maximum = Math.max(maximum, index - oldest + 1)
    })
    return maximum
  }

  #createEntryHost (number: number): StandInEntryHost {
    const name = `entry-${number}`
    const domain = DOMAINS[number % DOMAINS.length]!
    const quota = new AccountQuota({
      client: name,
      listControlHosts: () => [domain, ...DOMAINS.filter((other) => other !== domain && regionOf(other) === regionOf(domain)), ...DOMAINS.filter((other) => regionOf(other) !== regionOf(domain))],
      callPeer: this.network.callPeer(domain),
      random: this.#random,
      counters: this.counters,
      log: { info: () => {}, warn: () => {}, error: () => {} }
    })
    return { name, domain, quota }
  }

  #listControlHosts (domain: string): ControlHost[] {
    const now = performance.now()
    const others = DOMAINS.filter((other) => other !== domain && now - (this.#contacts.get(`${other} ${domain}`) ?? Number.NEGATIVE_INFINITY) <= MAXIMUM_SILENCE_MILLISECONDS)
    return [domain, ...others].map((name) => ({ peerAddress: name, domain: name, region: regionOf(name) }))
  }

  #exchangeContacts (): void {
    for (const from of DOMAINS) for (const to of DOMAINS) if ((this.#desks.has(from) || this.#desks.size === 0) && !this.network.isCut(from, to)) this.#contacts.set(`${from} ${to}`, performance.now())
  }

  /** @returns a number of arrivals of a Poisson process */
  #drawCount (expectedCount: number): number {
    let count = 0
    for (let product = this.#random(); product > Math.exp(-expectedCount); product *= this.#random()) count += 1
    return count
  }
}

/** @returns the region of a failure domain, or of an entry host's */
function regionOf (domain: string): string {
  return String(Math.floor(Number(domain.slice(1)) / 2))
}
